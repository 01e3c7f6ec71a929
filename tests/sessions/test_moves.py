"""Moves of stalled runs, with agents and workers."""

import pytest

from tests.sessions.batch_fakes import BatchFleet, create_step
from tests.sessions.test_lost_machines import find_agent
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


@pytest.mark.parametrize('leaders', [1, 2, 3])
def test_run_stopped_under_an_earlier_leader_leaves_its_job_idle_no_longer(
    leaders: int,
) -> None:
    fleet = BatchFleet(workers=2)
    fleet.run(1.5)
    full = {'fills': True, 'image': 'f', 'millicores': 4000}
    fleet.submit('j', [create_step(1, checkpoints=True, **full)], LONG)
    fleet.run(2)
    ((_, first),) = find_starts(fleet, TASK)
    agent = find_agent(fleet, first)
    move_run(fleet)
    fleet.run(0.05)
    # Its end is told to a later leader, when the other worker is in use.
    agent.is_partitioned = True
    agent.announce_draining()
    for _ in range(leaders):
        fleet.change_leader(0.3)
        fleet.run(0.3)
    fleet.submit('k', [create_step(1, **full)], LONG)
    fleet.run(1)
    assert len(find_starts(fleet, 'k.0.0.0')) == 1
    agent.is_partitioned = False
    fleet.run(MAX_AWAY_SECONDS)
    assert len(find_starts(fleet, TASK)) == 2
