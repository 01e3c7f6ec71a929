"""Queue that serves its callers in turn."""

from collections import OrderedDict, deque
from collections.abc import Iterator
from typing import final

import attrs

from wasabiturn.ids import Ticket


@final
@attrs.frozen
class Waiting:
    """Request that waits for a slot; the deadline is in loop seconds."""

    ticket: Ticket
    caller: str
    deadline: float


@final
@attrs.define
class FairQueue:
    """Waiting requests, first in first out for each caller.

    Callers are served in turn, one request each, so that the wait of one
    caller does not grow with the number of requests of another.
    """

    _waiting_by_caller: OrderedDict[str, deque[Waiting]] = attrs.field(
        factory=OrderedDict,
    )
    _caller_by_ticket: dict[Ticket, str] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._caller_by_ticket)

    def __contains__(self, ticket: Ticket) -> bool:
        """Return whether the request with ``ticket`` waits."""
        return ticket in self._caller_by_ticket

    def push(self, waiting: Waiting) -> None:
        """Add a request behind those of the same caller."""
        lane = self._waiting_by_caller.setdefault(waiting.caller, deque())
        lane.append(waiting)
        self._caller_by_ticket[waiting.ticket] = waiting.caller

    def pop(self) -> Waiting:
        """Remove and return the request whose turn it is.

        Raises:
            StopIteration: nothing waits.
        """
        caller, lane = next(iter(self._waiting_by_caller.items()))
        waiting = lane.popleft()
        self._caller_by_ticket.pop(waiting.ticket)
        self._waiting_by_caller.move_to_end(caller)
        self._drop_empty(caller)
        return waiting

    def pop_longest(self) -> Waiting:
        """Remove the newest request of the caller with the most waiting.

        Raises:
            ValueError: nothing waits.
        """
        caller = max(self._waiting_by_caller, key=self._lane_length)
        waiting = self._waiting_by_caller[caller].pop()
        self._caller_by_ticket.pop(waiting.ticket)
        self._drop_empty(caller)
        return waiting

    def remove(self, ticket: Ticket) -> bool:
        """Remove a request; false when it does not wait."""
        caller = self._caller_by_ticket.pop(ticket, None)
        if caller is None:
            return False
        lane = self._waiting_by_caller[caller]
        kept = [waiting for waiting in lane if waiting.ticket != ticket]
        self._waiting_by_caller[caller] = deque(kept)
        self._drop_empty(caller)
        return True

    def rank(self, caller: str) -> int:
        """Return how many requests precede a new one of ``caller``."""
        own = self._lane_length(caller)
        return own + sum(
            min(len(lane), own + 1)
            for other, lane in self._waiting_by_caller.items()
            if other != caller
        )

    def in_turn(self) -> Iterator[Waiting]:
        """Yield the waiting requests in the order of service."""
        lanes = [iter(lane) for lane in self._waiting_by_caller.values()]
        while lanes:
            remaining = []
            for lane in lanes:
                waiting = next(lane, None)
                if waiting is not None:
                    remaining.append(lane)
                    yield waiting
            lanes = remaining

    def _lane_length(self, caller: str) -> int:
        lane = self._waiting_by_caller.get(caller)
        return len(lane) if lane else 0

    def _drop_empty(self, caller: str) -> None:
        if not self._waiting_by_caller[caller]:
            self._waiting_by_caller.pop(caller)
