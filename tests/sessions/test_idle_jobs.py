"""Jobs that run nothing while tasks of theirs wait."""

from collections.abc import Iterator
from typing import Any

import pytest
from eliot import add_destinations, remove_destination

from tests.sessions.batch_fakes import BatchFleet, FakeAgent, create_step
from wasabiturn.messages.kinds import JobState, RunEnding
from wasabiturn.standins.batch_worker import SimulatedWork

LONG = SimulatedWork(1000)
# As large as a worker.
FULL = {'fills': True, 'image': 'f', 'millicores': 4000}


@pytest.fixture
def idle_lines() -> Iterator[list[dict[str, Any]]]:
    """Collect the log lines about idle jobs."""
    lines: list[dict[str, Any]] = []

    def collect(message: dict[str, Any]) -> None:
        if message.get('text') == 'queues: job runs nothing':
            lines.append(message)

    add_destinations(collect)
    yield lines
    remove_destination(collect)


def lose_machine(agent: FakeAgent) -> None:
    agent.is_partitioned = True
    agent.pause()
    agent.worker.crash()


def find_agent(fleet: BatchFleet, worker: str) -> FakeAgent:
    return next(
        each for each in fleet.agents if each.worker.identity.worker == worker
    )


def test_job_that_runs_nothing_is_logged_with_reasons_and_not_too_often(
    idle_lines: list[dict[str, Any]],
) -> None:
    fleet = BatchFleet(workers=2)
    fleet.run(1.5)
    fleet.submit('j', [create_step(2, memory_mb=3000)], LONG)
    fleet.submit('k', [create_step(1, memory_mb=3000)], LONG)
    fleet.run(1)
    assert len(fleet.run_starts) == 2
    for agent in fleet.agents:
        if any(task[0] == 'j' for task in agent.worker.runs_by_task):
            lose_machine(agent)
    fleet.run(9)
    of_k = [line for line in idle_lines if line['job'] == 'k']
    assert 1 <= len(of_k) <= 2
    assert of_k[0]['waiting'] == {'no worker accepts work': 1}
    assert 3 <= of_k[0]['idle_seconds'] < 4


def test_job_with_a_run_is_not_logged(
    idle_lines: list[dict[str, Any]],
) -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(1.5)
    fleet.submit('j', [create_step(8)], SimulatedWork(6))
    fleet.run(20)
    assert len(fleet.run_starts) == 8
    assert not idle_lines


def test_job_on_a_lost_machine_soon_runs_where_others_fill_the_processors() -> (
    None
):
    fleet = BatchFleet(workers=3)
    fleet.run(1.5)
    fleet.submit('k', [create_step(2, **FULL)], LONG)
    fleet.run(0.5)
    fleet.submit('j', [create_step(2, **FULL)], LONG)
    fleet.run(3)
    (first,) = (run for run in fleet.run_starts if run[1].startswith('j.'))
    lose_machine(find_agent(fleet, first[3]))
    fleet.run(2.9)
    workers_by_task = fleet.find_workers_by_task()
    assert [task for task in workers_by_task if task.startswith('j.')]


def test_sound_job_starts_though_failing_tasks_have_been_on_all_workers() -> (
    None
):
    fleet = BatchFleet(workers=2)
    fleet.run(1.5)
    failing = SimulatedWork(0.2, ending=RunEnding.failed)
    fleet.submit('p', [create_step(8)], failing)
    while not fleet.run_ends:
        fleet.run(0.01)
    fleet.submit('j', [create_step(1)], SimulatedWork(1))
    # An idle job starts within 3 s.
    fleet.run_until('j', JobState.done, seconds=5)


def fill_all_workers(fleet: BatchFleet) -> None:
    fleet.submit('k', [create_step(len(fleet.agents), **FULL)], LONG)
    fleet.run(0.5)


def list_starts(fleet: BatchFleet, job: str) -> list[float]:
    return [at for at, task, *_ in fleet.run_starts if task.startswith(job)]


@pytest.mark.parametrize('changes', [1, 2, 3])
def test_idle_time_of_a_job_does_not_begin_anew_with_each_leader(
    changes: int,
) -> None:
    fleet = BatchFleet(workers=3)
    fleet.run(1.5)
    fill_all_workers(fleet)
    fleet.submit('j', [create_step(2, **FULL)], LONG)
    fleet.run(1.5)
    assert not list_starts(fleet, 'j.')
    for _ in range(changes):
        fleet.change_leader(0.5, was_up=True)
        fleet.run(0.3)
    # Agents report within a second.
    fleet.run(0.7 + 0.3)
    assert len(list_starts(fleet, 'j.')) == 1


def test_new_leader_starts_no_job_at_a_low_pace_that_is_not_idle() -> None:
    fleet = BatchFleet(workers=3)
    fleet.run(1.5)
    fill_all_workers(fleet)
    fleet.run(3)
    fleet.submit('j', [create_step(2, **FULL)], LONG)
    fleet.run(0.1)
    fleet.change_leader(0.5, was_up=True)
    fleet.run(1.2)
    assert not list_starts(fleet, 'j.')


@pytest.mark.parametrize('seconds', [0.1, 0.4, 0.9, 1.0])
def test_new_leader_starts_no_job_at_a_low_pace_of_which_a_run_works(
    seconds: float,
) -> None:
    fleet = BatchFleet(workers=3)
    fleet.run(1.5)
    fleet.submit('j', [create_step(99, **FULL)], SimulatedWork(seconds))
    fleet.run(3 + seconds / 2)
    for _ in range(2):
        fleet.change_leader(0.3, was_up=True)
        for _ in range(100):
            fleet.run(0.01)
            assert all(
                len(agent.worker.runs_by_task) <= 1 for agent in fleet.agents
            )
