"""Moves of stalled runs to a place that is reserved for them.

A run is stopped only once its task has a place at another worker. The place is
kept for a short time, while lasting tasks may take it, and released as soon as
its worker could not start the task. A task that has lost its place starts
anywhere if its job runs nothing.
"""

from collections.abc import Iterable, Iterator
from typing import final

import attrs

from wasabiturn.batch.fleet import NEVER, Allocation, Fleet, Worker
from wasabiturn.batch.placing.acceptance import is_fresh
from wasabiturn.batch.placing.candidates import (
    Candidates,
    can_take,
    count_by_worker,
    create_start,
)
from wasabiturn.batch.placing.move_state import Move
from wasabiturn.batch.placing.stalls import may_move
from wasabiturn.batch.queueing.progress import runs_nothing
from wasabiturn.batch.state.batch_state import BatchState
from wasabiturn.batch.state.jobs import Job, Task
from wasabiturn.messages.batch import EndRun, StartRun
from wasabiturn.messages.kinds import BatchTaskState, RunEnding

# The end of a run is listed with the next report after its stop.
PLACE_SECONDS = 3.0


@final
@attrs.frozen
class PlannedMove:
    """A run to stop, and the worker that its task goes to."""

    allocation: Allocation
    worker: Worker


def reserve_place(fleet: Fleet, planned: PlannedMove, now: float) -> None:
    """Reserve the worker of a planned move for the task."""
    task = planned.allocation.task
    worker = planned.worker
    worker.reserved_steps[task.name] = task.step
    fleet.moves_by_task[task.name] = Move(
        task=task,
        run=planned.allocation.run,
        place=(worker.name, worker.born_ms),
        until=now + PLACE_SECONDS,
    )


def record_earlier_moves(
    fleet: Fleet, batch_state: BatchState, ends: Iterable[EndRun]
) -> None:
    """Record the moves that an earlier leader began, before their runs end.

    Their places are not known, so they have lost them.
    """
    for end in ends:
        task = batch_state.tasks_by_name.get(end.task)
        if end.ending is not RunEnding.stopped or task is None:
            continue
        if task.run == end.run and _was_stopped_before(fleet, task):
            fleet.moves_by_task[task.name] = Move(
                task=task, run=end.run, place=None, until=NEVER
            )


def start_moved(fleet: Fleet, candidates: Candidates) -> Iterator[StartRun]:
    """Yield starts of the tasks whose runs have ended, at their places.

    Releases the places that are not kept any longer.
    """
    for move in list(fleet.moves_by_task.values()):
        worker = _find_place(fleet, move)
        if worker is None or not _is_kept(move, worker, candidates):
            _release_place(fleet, move)
        if _is_over(move):
            _release_place(fleet, move)
            fleet.moves_by_task.pop(move.task.name)
        elif _is_ready(move):
            yield from _start_at_place(fleet, move, candidates)


def lacks_place(fleet: Fleet, job: Job, now: float) -> bool:
    """Return whether a stop for a place that was lost left a job idle."""
    has_lost_place = any(
        move.task.job is job and move.place is None and _is_ready(move)
        for move in fleet.moves_by_task.values()
    )
    return has_lost_place and runs_nothing(fleet, job, now)


def _was_stopped_before(fleet: Fleet, task: Task) -> bool:
    worker = fleet.worker_of(task)
    allocation = worker and worker.allocations_by_task.get(task.name)
    if not allocation or allocation.is_stop_requested:
        return False
    return allocation.is_inherited and may_move(task.step)


def _start_at_place(
    fleet: Fleet, move: Move, candidates: Candidates
) -> Iterator[StartRun]:
    worker = _find_place(fleet, move)
    _release_place(fleet, move)
    if worker is None or move.task.name in candidates.bound_tasks:
        return
    part = move.task.part
    if can_take(part, worker, count_by_worker(part)):
        fleet.moves_by_task.pop(move.task.name)
        yield create_start(move.task, worker, move.run + 1)


def _find_place(fleet: Fleet, move: Move) -> Worker | None:
    return None if move.place is None else fleet.find(*move.place)


def _release_place(fleet: Fleet, move: Move) -> None:
    worker = _find_place(fleet, move)
    if worker is not None:
        worker.reserved_steps.pop(move.task.name, None)
    move.place = None


def _is_kept(move: Move, worker: Worker, candidates: Candidates) -> bool:
    """Return whether a place would still start its task."""
    if candidates.now >= move.until or not is_fresh(worker, candidates.now):
        return False
    # A lasting task has taken the room, or the worker has shrunk.
    fits = worker.has_room(
        0, worker.reserved_memory_mb, worker.reserved_accelerators
    )
    return fits and worker in candidates.workers


def _is_over(move: Move) -> bool:
    """Return whether a task does not come back from its stop as it was."""
    task = move.task
    if task.run != move.run or task.is_suspect or task.job.is_final:
        return True
    return task.state not in {BatchTaskState.active, BatchTaskState.waiting}


def _is_ready(move: Move) -> bool:
    is_waiting = move.task.state is BatchTaskState.waiting
    return is_waiting and not _is_over(move)
