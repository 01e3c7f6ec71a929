"""Runs that have worked for so long that they are trusted.

A crash of their worker is not put down to them while others are there, and a
suspect whose run has worked long enough is cleared.
"""

from wasabiturn.batch.crashes.suspicions import REPEATED_CRASHES
from wasabiturn.batch.fleet import Allocation, Fleet, Worker
from wasabiturn.batch.state.batch_state import BatchState
from wasabiturn.batch.state.jobs import Task
from wasabiturn.messages.kinds import BatchTaskState

# A run that has worked for so long is proven; the second figure holds for a
# task with repeated crashes, which may come late.
PROOF_SECONDS = 0.5
SLOW_PROOF_SECONDS = 3.0
# Beyond this number of crashes a proof takes as long as any blame.
CRASHES_OF_LONGEST_PROOF = 3
# A crash does not count against a run that had worked for longer.
MAX_BLAMED_SECONDS = 10.0


def find_proven_suspects(
    batch_state: BatchState, fleet: Fleet, now: float
) -> list[str]:
    """Return the suspects that have worked long enough to be cleared."""
    return [
        task.name
        for task in batch_state.suspects_by_name.values()
        if task.state is BatchTaskState.active
        and (worker := fleet.worker_of(task)) is not None
        and _is_cleared(worker.allocations_by_task.get(task.name), now)
    ]


def find_acquitted(worker: Worker, now: float) -> list[str]:
    """Return the tasks at a worker whose earlier crash counts no more.

    Their runs have worked for so long since then that no crash of this worker
    is put down to them. Several crashes are forgotten with the suspicion.
    """
    return [
        allocation.task.name
        for allocation in worker.allocations_by_task.values()
        if allocation.task.crashes
        and not allocation.task.is_suspect
        and allocation.worked_seconds(now) >= MAX_BLAMED_SECONDS
    ]


def proof_seconds(task: Task) -> float:
    """Return how long a run of a task must work to be proven."""
    if task.crashes >= CRASHES_OF_LONGEST_PROOF:
        return MAX_BLAMED_SECONDS
    if task.crashes >= REPEATED_CRASHES:
        return SLOW_PROOF_SECONDS
    return PROOF_SECONDS


def is_proven(allocation: Allocation, now: float) -> bool:
    """Return whether a run has worked for long enough to be trusted."""
    return allocation.worked_seconds(now) >= proof_seconds(allocation.task)


def _is_cleared(allocation: Allocation | None, now: float) -> bool:
    if allocation is None:
        return False
    seconds = proof_seconds(allocation.task)
    if allocation.task.crashes >= REPEATED_CRASHES:
        seconds = MAX_BLAMED_SECONDS
    return allocation.worked_seconds(now) >= seconds
