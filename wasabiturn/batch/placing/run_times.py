"""Learning of durations from the ends of runs."""

from collections.abc import Iterable

from wasabiturn.batch.fleet import Fleet, Worker
from wasabiturn.batch.placing.locality.rack_choice import find_racks
from wasabiturn.batch.state.batch_state import BatchState
from wasabiturn.batch.state.jobs import Task
from wasabiturn.messages.batch import EndRun
from wasabiturn.messages.kinds import RunEnding


def learn_from_ends(
    fleet: Fleet, batch_state: BatchState, ends: Iterable[EndRun], now: float
) -> None:
    """Learn how long the runs took that are done; call it before they end."""
    if not fleet.locality.terms.is_active:
        return
    for end in ends:
        task = batch_state.active_by_name.get(end.task)
        is_done = end.ending is RunEnding.done
        if task is not None and task.run == end.run and is_done:
            _learn(fleet, task, now)


def _learn(fleet: Fleet, task: Task, now: float) -> None:
    worker = fleet.worker_of(task)
    allocation = worker and worker.allocations_by_task.get(task.name)
    if worker is None or allocation is None or allocation.is_inherited:
        # It is not known when it began.
        return
    seconds = allocation.worked_seconds(now)
    if _is_slowed(fleet, worker, task):
        seconds /= fleet.locality.terms.slowdown_factor
    fleet.locality.durations.learn(task.part, seconds)


def _is_slowed(fleet: Fleet, worker: Worker, task: Task) -> bool:
    step = task.step
    if step.preferred_rack and step.preferred_rack != worker.report.rack:
        return True
    return step.same_rack and len(find_racks(task.part, fleet)) > 1
