"""Moves of stalled runs, with agents and workers."""

import pytest

from tests.sessions.batch_fakes import BatchFleet, create_step
from wasabiturn.standins.batch_worker import SimulatedWork

LONG = SimulatedWork(1000)
TASK = 'j.0.0.0'
# Its stop, the report of its end, and its next start.
MAX_AWAY_SECONDS = 1.5


def find_starts(fleet: BatchFleet, task: str) -> list[tuple[float, str]]:
    return [
        (started_at, worker)
        for started_at, name, _, worker in fleet.run_starts
        if name == task
    ]


def move_run(fleet: BatchFleet) -> None:
    """Have the leader take the run for stalled, until it is to be stopped."""
    leader_term = fleet.leader._leader_term
    assert leader_term is not None
    task = leader_term.pipeline.batch_state.tasks_by_name[TASK]
    worker = leader_term.fleet.worker_of(task)
    assert worker is not None
    worker.stalled_at_by_image['f'] = 0
    allocation = worker.allocations_by_task[TASK]
    for _ in range(50):
        if not allocation.is_stop_requested:
            fleet.run(0.01)
    assert allocation.is_stop_requested


@pytest.mark.parametrize('workers', [2, 3])
def test_moved_run_finds_its_place_though_other_work_has_come(
    workers: int,
) -> None:
    fleet = BatchFleet(workers=workers)
    fleet.run(1.5)
    filling = {'fills': True, 'image': 'f', 'memory_mb': 3000}
    fleet.submit('j', [create_step(1, checkpoints=True, **filling)], LONG)
    fleet.run(2)
    move_run(fleet)
    # Each of its tasks takes a worker.
    fleet.submit('k', [create_step(workers, memory_mb=3000)], LONG)
    fleet.run(0.5 + MAX_AWAY_SECONDS)
    (_, first), (started_at, second) = find_starts(fleet, TASK)
    assert second != first
    (stopped_at,) = (at for at, task, *_ in fleet.run_ends if task == TASK)
    assert started_at - stopped_at <= MAX_AWAY_SECONDS
