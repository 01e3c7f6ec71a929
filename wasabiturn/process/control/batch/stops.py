"""Runs that the leader tells a worker to stop."""

from collections.abc import Iterable

from wasabiturn.batch.fleet import Allocation, Fleet
from wasabiturn.batch.withdrawals import list_gang
from wasabiturn.utils.logs import create_component_log

_log = create_component_log('queues')


def mark_to_stop(allocation: Allocation, decision: str) -> None:
    """Have the next orders to its worker stop a run, or a start of it."""
    allocation.is_stop_requested = True
    task = allocation.task
    _log.decision(
        decision, task=task.name, run=allocation.run, worker=task.worker
    )


def withdraw_starts(
    fleet: Fleet, starts: Iterable[Allocation]
) -> set[tuple[str, int]]:
    """Withdraw starts, with their gangs; return the workers to be told."""
    incarnations_to_notify: set[tuple[str, int]] = set()
    for start in list(starts):
        for allocation in list_gang(fleet, start):
            mark_to_stop(allocation, 'withdraws start')
            task = allocation.task
            incarnations_to_notify.add((task.worker, task.born_ms))
    return incarnations_to_notify
