"""Fair queue that serves callers in round-robin order."""

from collections import OrderedDict, deque
from collections.abc import Iterator
from typing import final

import attrs

from wasabiturn.ids import Ticket


@final
@attrs.frozen
class Waiting:
    """Request that waits for a slot.

    ``deadline`` is in seconds of reactor time.
    """

    ticket: Ticket
    caller: str
    deadline: float


@final
@attrs.define
class FairQueue:
    """Waiting requests, first in, first out for each caller.

    Callers are served round robin, one request each, so that one caller's
    wait does not grow with the number of requests of another.
    """

    _waiting_by_caller: OrderedDict[str, deque[Waiting]] = attrs.field(
        factory=OrderedDict,
    )
    _caller_by_ticket: dict[Ticket, str] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._caller_by_ticket)

    def __contains__(self, ticket: Ticket) -> bool:
        """Return whether the request with ``ticket`` is waiting."""
        return ticket in self._caller_by_ticket

    def push(self, waiting: Waiting) -> None:
        """Append a request to the queue of its caller."""
        queue = self._waiting_by_caller.setdefault(waiting.caller, deque())
        queue.append(waiting)
        self._caller_by_ticket[waiting.ticket] = waiting.caller

    def pop(self) -> Waiting:
        """Remove and return the next request to serve.

        Raises:
            StopIteration: the queue is empty.
        """
        caller, queue = next(iter(self._waiting_by_caller.items()))
        waiting = queue.popleft()
        self._caller_by_ticket.pop(waiting.ticket)
        self._waiting_by_caller.move_to_end(caller)
        self._remove_if_empty(caller)
        return waiting

    def pop_from_longest(self) -> Waiting:
        """Remove and return the newest request of the longest queue.

        Raises:
            ValueError: the queue is empty.
        """
        caller = max(self._waiting_by_caller, key=self._queue_length)
        waiting = self._waiting_by_caller[caller].pop()
        self._caller_by_ticket.pop(waiting.ticket)
        self._remove_if_empty(caller)
        return waiting

    def remove(self, ticket: Ticket) -> bool:
        """Remove a request; return false if it was not waiting."""
        caller = self._caller_by_ticket.pop(ticket, None)
        if caller is None:
            return False
        queue = self._waiting_by_caller[caller]
        kept = [waiting for waiting in queue if waiting.ticket != ticket]
        self._waiting_by_caller[caller] = deque(kept)
        self._remove_if_empty(caller)
        return True

    def rank(self, caller: str) -> int:
        """Return how many requests would precede a new one of ``caller``."""
        own = self._queue_length(caller)
        return own + sum(
            min(len(queue), own + 1)
            for other, queue in self._waiting_by_caller.items()
            if other != caller
        )

    def in_service_order(self) -> Iterator[Waiting]:
        """Yield the waiting requests in the order they will be served."""
        queues = [iter(queue) for queue in self._waiting_by_caller.values()]
        while queues:
            remaining = []
            for queue in queues:
                waiting = next(queue, None)
                if waiting is not None:
                    remaining.append(queue)
                    yield waiting
            queues = remaining

    def _queue_length(self, caller: str) -> int:
        queue = self._waiting_by_caller.get(caller)
        return len(queue) if queue else 0

    def _remove_if_empty(self, caller: str) -> None:
        if not self._waiting_by_caller[caller]:
            self._waiting_by_caller.pop(caller)
