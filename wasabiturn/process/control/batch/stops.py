"""Runs that the leader tells a worker to stop."""

from wasabiturn.batch.fleet import Allocation, Worker
from wasabiturn.batch.withdrawals import find_starts_without_room
from wasabiturn.utils.logs import create_component_log

_log = create_component_log('queues')


def mark_to_stop(allocation: Allocation, decision: str) -> None:
    """Have the next orders to its worker stop a run, or a start of it."""
    allocation.is_stop_requested = True
    task = allocation.task
    _log.decision(
        decision, task=task.name, run=allocation.run, worker=task.worker
    )


def withdraw_starts_without_room(worker: Worker) -> None:
    """Withdraw starts from a worker whose capacity has shrunk."""
    for allocation in find_starts_without_room(worker):
        mark_to_stop(allocation, 'withdraws start')
