"""Orders without an answer, as the agents report them.

An agent process knows the orders that it has sent itself. Those of the process
before it were sent no later than it began.
"""

from typing import final

import attrs

from wasabiturn.batch.fleet import NEVER, Allocation, Worker
from wasabiturn.messages.batch import (
    OpenOrder,
    OverdueStart,
    SettledStart,
    WorkerReport,
)

# An order that is out for longer may be carried out late.
ANSWER_SECONDS = 0.5
_MS = 1000


@final
@attrs.frozen
class OrderAccount:
    """What one report tells of open orders.

    ``sent_at_by_run`` has the newest open order of each task and run,
    ``unanswered_by_run`` the newest that no later incarnation has answered.
    """

    known_since: float
    sent_at_by_run: dict[tuple[str, int], float]
    unanswered_by_run: dict[tuple[str, int], float]

    def limit(self, allocation: Allocation) -> None:
        """Limit the orders for a run that is not ordered any more."""
        key = (allocation.task.name, allocation.run)
        self._limit(allocation, self.sent_at_by_run.get(key, NEVER))

    def limit_unanswered(self, allocation: Allocation) -> None:
        """Limit the orders for a run that is over on later incarnations."""
        key = (allocation.task.name, allocation.run)
        self._limit(allocation, self.unanswered_by_run.get(key, NEVER))

    def _limit(self, allocation: Allocation, last_sent_at: float) -> None:
        if allocation.is_inherited or allocation.started_at <= self.known_since:
            last_sent_at = max(last_sent_at, self.known_since)
        allocation.limit_orders(last_sent_at)

    def limit_all(self, worker: Worker) -> None:
        """Limit the orders for all runs of a worker that gets no more."""
        for allocation in worker.list_allocations():
            self.limit(allocation)

    def limit_confirmed(self, worker: Worker, now: float) -> None:
        """Limit the orders for the runs of a worker that have begun."""
        for allocation in worker.allocations_by_task.values():
            if allocation.is_confirmed and allocation.has_open_order(now):
                self.limit(allocation)


def find_settled_starts(worker: Worker, now: float) -> list[SettledStart]:
    """Return the runs that the state does not have as settled yet."""
    return [
        _create_settled(allocation, now)
        for allocation in worker.allocations_by_task.values()
        if allocation.is_confirmed
        and not allocation.task.is_settled
        and (
            not allocation.may_have_late_run(now)
            or not allocation.task.orders_end_ms
        )
    ]


def find_overdue_starts(
    worker: Worker, report: WorkerReport, now: float
) -> list[OverdueStart]:
    """Return the starts of lasting tasks newly known to be overdue."""
    account = read_account(report, now)
    if account is None:
        return []
    return [
        OverdueStart(task=task, run=run)
        for (task, run), sent_at in account.sent_at_by_run.items()
        if now >= sent_at + ANSWER_SECONDS
        and _is_news(worker.allocations_by_task.get(task), run)
    ]


def _is_news(allocation: Allocation | None, run: int) -> bool:
    if allocation is None or allocation.run != run:
        return False
    task = allocation.task
    return task.step.lasting and not task.has_overdue_order


def _create_settled(allocation: Allocation, now: float) -> SettledStart:
    return SettledStart(
        task=allocation.task.name,
        run=allocation.run,
        open_ms=allocation.open_ms(now),
    )


def read_account(report: WorkerReport, now: float) -> OrderAccount | None:
    """Return what a report that arrives at ``now`` tells of open orders.

    Agents of earlier versions tell nothing.
    """
    if report.open_orders is None:
        return None
    orders = report.open_orders.orders
    unanswered = [order for order in orders if not order.is_answered]
    return OrderAccount(
        known_since=now - report.open_orders.known_ms / _MS,
        sent_at_by_run=_find_newest(orders, now),
        unanswered_by_run=_find_newest(unanswered, now),
    )


def _find_newest(
    orders: list[OpenOrder], now: float
) -> dict[tuple[str, int], float]:
    sent_at_by_run: dict[tuple[str, int], float] = {}
    for order in orders:
        key = (order.task, order.run)
        sent_at = now - order.age_ms / _MS
        sent_at_by_run[key] = max(sent_at, sent_at_by_run.get(key, NEVER))
    return sent_at_by_run
