"""Starts and stops that the leader ordered, and their outcomes."""

from collections.abc import Iterable
from typing import Any, final

import attrs

from wasabiturn.messages.batch import StartOrder, StartResult
from wasabiturn.messages.kinds import StartOutcome
from wasabiturn.process.agent.runs.port import RunListing

RunKey = tuple[str, int]
_MS = 1000


@final
@attrs.define
class Start:
    """One ordered start; ``fence`` is the fencing token of the order.

    ``order_count`` is the number of orders that were sent to the worker, and
    ``unanswered_orders`` how many of them have no answer. The worker may still
    carry these out, whatever it answers to a repeated one.
    """

    order: StartOrder
    fence: int
    outcome: StartOutcome = StartOutcome.pending
    is_sent: bool = False
    order_count: int = 0
    unanswered_orders: int = 0
    reason: str = ''
    # No order is sent after it, on the clock of the loop; 0 if there is none.
    send_until_ms: int = 0

    @property
    def key(self) -> RunKey:
        """Return the task and the run number."""
        return self.order.task, self.order.run

    @property
    def has_unanswered_order(self) -> bool:
        """Return whether the worker may still carry an order out."""
        return self.unanswered_orders > 0

    @property
    def was_never_sent(self) -> bool:
        """Return whether the worker knows nothing of the pending start."""
        return self.outcome is StartOutcome.pending and not self.order_count

    @property
    def is_open(self) -> bool:
        """Return whether an order may still settle the pending start."""
        if self.outcome is not StartOutcome.pending:
            return False
        return self.is_sent or self.has_unanswered_order

    def may_be_sent(self, now: float) -> bool:
        """Return whether the time for orders has not passed."""
        return not self.send_until_ms or now * _MS < self.send_until_ms

    def record_order(self) -> None:
        """Count an order that is sent now."""
        self.order_count += 1
        self.unanswered_orders += 1

    def describe(self) -> dict[str, Any]:
        """Return the fields of a log line about this start."""
        return {
            'task': self.order.task,
            'run': self.order.run,
            'fence': self.fence,
            'order': self.order_count,
            'unanswered_orders': self.unanswered_orders,
        }


@final
@attrs.define
class StartTable:
    """Starts by task and run, and stops that the worker has confirmed.

    For each confirmed stop, ``confirmed_stops`` has the number of holds sent
    before the confirmation.
    """

    starts_by_run: dict[RunKey, Start] = attrs.field(factory=dict)
    confirmed_stops: dict[RunKey, int] = attrs.field(factory=dict)

    def add(self, orders: Iterable[StartOrder], fence: int) -> None:
        """Add ordered starts; of those already known, the limit changes."""
        for order in orders:
            key = (order.task, order.run)
            known = self.starts_by_run.get(key)
            if known is None:
                known = Start(order=order, fence=fence)
                self.starts_by_run[key] = known
            known.send_until_ms = order.send_until_ms

    def has(self, start: Start) -> bool:
        """Return whether the start is still ordered."""
        return self.starts_by_run.get(start.key) is start

    def awaits(self, start: Start) -> bool:
        """Return whether the start is still ordered and has no outcome."""
        return self.has(start) and start.outcome is StartOutcome.pending

    def has_open(self) -> bool:
        """Return whether an answer to a start is due."""
        return any(start.is_open for start in self.starts_by_run.values())

    def list_unsent(self) -> list[Start]:
        """Return the pending starts that are not yet sent to the worker."""
        return [
            start
            for start in self.starts_by_run.values()
            if start.outcome is StartOutcome.pending and not start.is_sent
        ]

    def list_without_orders(self) -> list[Start]:
        """Return the pending starts for which no order can be carried out."""
        return [
            start
            for start in self.starts_by_run.values()
            if start.outcome is StartOutcome.pending
            and not start.has_unanswered_order
        ]

    def list_results(self) -> list[StartResult]:
        """Return the results of the starts that are no longer pending."""
        return [
            StartResult(
                task=task,
                run=run,
                result=start.outcome,
                reason=start.reason,
                has_unanswered_order=start.has_unanswered_order,
            )
            for (task, run), start in self.starts_by_run.items()
            if start.outcome is not StartOutcome.pending
        ]

    def forget_settled(self, still_ordered: set[RunKey]) -> list[Start]:
        """Drop and return the starts that the leader no longer orders.

        Open starts stay until their outcome is known.
        """
        forgotten_keys = [
            key
            for key, start in self.starts_by_run.items()
            if key not in still_ordered and not start.is_open
        ]
        return [self.starts_by_run.pop(key) for key in forgotten_keys]

    def drop_superseded(self, fence: int) -> None:
        """Drop all starts that were ordered before ``fence``.

        A listing under ``fence`` shows which of those sent have taken effect.
        """
        self.starts_by_run = {
            key: start
            for key, start in self.starts_by_run.items()
            if start.fence >= fence
        }

    def settle(self, listing: RunListing, sent_holds: int) -> None:
        """Update the outcomes of starts from a listing.

        A listed run has started, and need not be sent again. A run whose stop
        the worker confirmed, and that the answer to a later hold does not
        list, will never start and counts as refused.
        """
        running = {(row.task, row.run) for row in listing.running}
        ended = {(row.task, row.run) for row in listing.ended}
        for key in (running | ended) & self.starts_by_run.keys():
            self.starts_by_run[key].outcome = StartOutcome.started
        self._settle_stops(listing, running, ended, sent_holds)

    def _settle_stops(
        self,
        listing: RunListing,
        running: set[RunKey],
        ended: set[RunKey],
        sent_holds: int,
    ) -> None:
        for key, holds_before in list(self.confirmed_stops.items()):
            if sent_holds <= holds_before or key in running:
                continue
            if key in ended:
                self.confirmed_stops.pop(key)
            elif not listing.is_truncated:
                self.confirmed_stops.pop(key)
                self._record_refusal(key)

    def _record_refusal(self, key: RunKey) -> None:
        task, run = key
        self.starts_by_run[key] = Start(
            order=StartOrder(task=task, run=run),
            fence=0,
            outcome=StartOutcome.refused,
            reason='stopped before it came',
        )
