"""Runs that the leader tells a worker to stop."""

from collections.abc import Iterable

from wasabiturn.batch import BatchState
from wasabiturn.batch.fleet import Allocation, Fleet
from wasabiturn.batch.orders.withdrawals import find_withdrawn_starts, list_gang
from wasabiturn.batch.placing.forecast import Forecasts
from wasabiturn.batch.placing.moves import reserve_place
from wasabiturn.batch.planning import plan_moves
from wasabiturn.utils.logs import create_component_log

_log = create_component_log('queues')


def stop_unwanted_runs(
    batch_state: BatchState, fleet: Fleet, forecasts: Forecasts, now: float
) -> set[tuple[str, int]]:
    """Stop runs that move, and starts in data centres that were taken out.

    Returns the worker incarnations that are to be told.
    """
    incarnations_to_notify: set[tuple[str, int]] = set()
    for planned in plan_moves(batch_state, fleet, forecasts, now):
        reserve_place(fleet, planned, now)
        moved = planned.allocation
        _mark_to_stop(moved, 'moves run', place=planned.worker.name)
        incarnations_to_notify.add((moved.task.worker, moved.task.born_ms))
    withdrawn = find_withdrawn_starts(fleet, batch_state.out_data_centres, now)
    return incarnations_to_notify | withdraw_starts(fleet, withdrawn)


def withdraw_starts(
    fleet: Fleet, starts: Iterable[Allocation]
) -> set[tuple[str, int]]:
    """Withdraw starts, with their gangs; return the workers to be told."""
    incarnations_to_notify: set[tuple[str, int]] = set()
    for start in list(starts):
        for allocation in list_gang(fleet, start):
            _mark_to_stop(allocation, 'withdraws start')
            task = allocation.task
            incarnations_to_notify.add((task.worker, task.born_ms))
    return incarnations_to_notify


def _mark_to_stop(allocation: Allocation, decision: str, **fields: str) -> None:
    """Have the next orders to its worker stop a run, or a start of it."""
    allocation.is_stop_requested = True
    task = allocation.task
    _log.decision(
        decision,
        task=task.name,
        run=allocation.run,
        worker=task.worker,
        **fields,
    )
