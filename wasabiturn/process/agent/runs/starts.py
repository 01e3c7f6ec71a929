"""Starts and stops that the leader ordered, and what became of them."""

from collections.abc import Iterable
from typing import final

import attrs

from wasabiturn.messages.batch import StartOrder, StartResult
from wasabiturn.messages.kinds import StartOutcome
from wasabiturn.process.agent.runs.port import RunListing

RunKey = tuple[str, int]


@final
@attrs.define
class Start:
    """One ordered start; ``fence`` is the term of the leader that wants it.

    ``is_doubtful`` once an order had no answer: it may be carried out later,
    whatever the worker answers to the same order sent again.
    """

    order: StartOrder
    fence: int
    outcome: StartOutcome = StartOutcome.pending
    is_sent: bool = False
    is_doubtful: bool = False
    reason: str = ''

    @property
    def is_under_way(self) -> bool:
        """Tell whether the worker may still carry this out."""
        return self.is_sent and self.outcome is StartOutcome.pending


@final
@attrs.define
class StartTable:
    """Starts by task and run, and stops that the worker has confirmed.

    ``confirmed_stops`` holds how many holds had been sent by then.
    """

    starts_by_run: dict[RunKey, Start] = attrs.field(factory=dict)
    confirmed_stops: dict[RunKey, int] = attrs.field(factory=dict)

    def add(self, orders: Iterable[StartOrder], fence: int) -> None:
        """Take orders to start; those known already change nothing."""
        for order in orders:
            key = (order.task, order.run)
            if key not in self.starts_by_run:
                self.starts_by_run[key] = Start(order=order, fence=fence)

    def list_unsent(self) -> list[Start]:
        """Return the starts that are to be sent to the worker."""
        return [
            start
            for start in self.starts_by_run.values()
            if start.outcome is StartOutcome.pending and not start.is_sent
        ]

    def list_results(self) -> list[StartResult]:
        """Return what is known of the starts."""
        return [
            StartResult(
                task=task,
                run=run,
                result=start.outcome,
                reason=start.reason,
            )
            for (task, run), start in self.starts_by_run.items()
            if start.outcome is not StartOutcome.pending
        ]

    def forget_settled(self, still_ordered: set[RunKey]) -> None:
        """Drop the starts that the leader no longer orders.

        Those on their way to the worker stay until they are settled.
        """
        self.starts_by_run = {
            key: start
            for key, start in self.starts_by_run.items()
            if key in still_ordered or start.is_under_way
        }

    def drop_unsent(self, fence: int) -> None:
        """Drop what leaders before ``fence`` ordered and was not settled.

        A listing under ``fence`` shows what became of those that were sent.
        """
        self.starts_by_run = {
            key: start
            for key, start in self.starts_by_run.items()
            if start.fence >= fence
        }

    def settle(self, listing: RunListing, sent_holds: int) -> None:
        """Note what began, and refuse what was stopped before it came.

        A run that is listed needs to be sent no more. One that the worker
        agreed to stop, and that a hold sent later does not list, never comes.
        """
        running = {(row.task, row.run) for row in listing.running}
        ended = {(row.task, row.run) for row in listing.ended}
        for key in (running | ended) & self.starts_by_run.keys():
            self.starts_by_run[key].outcome = StartOutcome.started
        for key, sent_before in list(self.confirmed_stops.items()):
            if sent_holds <= sent_before or key in running:
                continue
            self.confirmed_stops.pop(key)
            if key not in ended:
                self._refuse(key)

    def _refuse(self, key: RunKey) -> None:
        task, run = key
        self.starts_by_run[key] = Start(
            order=StartOrder(task=task, run=run),
            fence=0,
            outcome=StartOutcome.refused,
            reason='stopped before it came',
        )
