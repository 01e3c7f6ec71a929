"""Lasting tasks that fail now and then, on few workers."""

import pytest

from tests.sessions.batch_fakes import BatchFleet, create_step
from wasabiturn.messages.kinds import RunEnding
from wasabiturn.standins.batch_worker import SimulatedWork

# A lasting task may be without a run for 6 s, and for 3 s that are calm.
MAX_AWAY_SECONDS = 9.0
PLAYED_SECONDS = 200.0


def find_longest_wait(fleet: BatchFleet) -> float:
    """Return the longest time from the end of a run to the next start."""
    return max(
        find_next_start(fleet, task, ended_at) - ended_at
        for ended_at, task, _, _ in fleet.run_ends
    )


def find_next_start(fleet: BatchFleet, task: str, since: float) -> float:
    """Return when a task began after ``since``; now, if it did not."""
    begun = [
        at
        for at, name, _, _ in fleet.run_starts
        if name == task and at >= since
    ]
    return min(begun, default=fleet.clock.seconds())


@pytest.mark.parametrize(
    ('workers', 'tasks', 'work_seconds'), [(1, 1, 50), (3, 6, 20), (2, 4, 0.2)]
)
def test_lasting_task_that_fails_does_not_wait_for_an_avoided_worker(
    workers: int, tasks: int, work_seconds: float
) -> None:
    fleet = BatchFleet(workers=workers)
    fleet.run(1)
    failing = SimulatedWork(work_seconds, ending=RunEnding.failed)
    fleet.submit('a', [create_step(tasks, lasting=True)], failing)
    fleet.run(PLAYED_SECONDS)
    assert find_longest_wait(fleet) < MAX_AWAY_SECONDS
