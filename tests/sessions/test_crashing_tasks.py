"""Tests of tasks that crash the workers that start them.

``BatchFleet`` checks that such a task isn't started on and on, and that no job
fails without cause.
"""

from random import Random

import attrs
import pytest

from tests.sessions.batch_fakes import BatchFleet, FakeAgent, create_step
from wasabiturn.messages.kinds import JobState
from wasabiturn.standins.batch_worker import Fault, SimulatedWork

CRASHING = SimulatedWork(1000, crash_after_seconds=0.01)
SOUND_JOBS = 12


def create_fleet(workers: int = 6) -> BatchFleet:
    fleet = BatchFleet(workers=workers)
    fleet.run(2)
    return fleet


def submit_sound_jobs(fleet: BatchFleet, prefix: str = 's') -> list[str]:
    jobs = [f'{prefix}{number}' for number in range(SOUND_JOBS)]
    for job in jobs:
        step = create_step(2, millicores=300)
        fleet.submit(job, [step], SimulatedWork(2))
    return jobs


def submit_crashing(fleet: BatchFleet, job: str = 'x') -> str:
    """Submit a job of which one task crashes workers; return its name."""
    task = f'{job}.0.0.1'
    fleet.work_by_task[task] = CRASHING
    fleet.submit(job, [create_step(3, millicores=300)], SimulatedWork(2))
    return task


def read_states(fleet: BatchFleet, jobs: list[str]) -> set[JobState]:
    return {fleet.read_state(job) for job in jobs}


def crash_busy_workers(fleet: BatchFleet) -> list[FakeAgent]:
    busy = [agent for agent in fleet.agents if agent.worker.runs_by_task]
    for agent in busy:
        agent.worker.crash()
    return busy


def find_agent(fleet: BatchFleet, task: str) -> FakeAgent:
    (worker,) = fleet.find_workers_by_task()[task]
    return next(
        agent
        for agent in fleet.agents
        if agent.worker.identity.worker == worker
    )


def crash_under(fleet: BatchFleet, task: str, name: str) -> None:
    """Crash the worker of a task; it is back at once, under another name."""
    find_agent(fleet, task).worker.start_incarnation(name)


def test_crashing_task_is_given_up_and_sound_jobs_get_done() -> None:
    fleet = create_fleet()
    jobs = submit_sound_jobs(fleet)
    task = submit_crashing(fleet)
    fleet.run_until('x', JobState.failed, seconds=6)
    assert fleet.caused_crashes[task] == 2
    fleet.run(8)
    assert read_states(fleet, jobs) == {JobState.done}


def test_workers_that_return_under_their_names_count_as_crashed() -> None:
    fleet = create_fleet()
    fleet.keeps_names = True
    jobs = submit_sound_jobs(fleet)
    task = submit_crashing(fleet)
    fleet.run_until('x', JobState.failed, seconds=12)
    assert fleet.caused_crashes[task] <= 3
    fleet.run(8)
    assert read_states(fleet, jobs) == {JobState.done}


def test_several_crashing_tasks_are_given_up() -> None:
    fleet = create_fleet(workers=8)
    jobs = submit_sound_jobs(fleet)
    tasks = [submit_crashing(fleet, job) for job in ('x', 'y', 'z')]
    fleet.run(20)
    assert read_states(fleet, ['x', 'y', 'z']) == {JobState.failed}
    assert max(fleet.caused_crashes[task] for task in tasks) <= 3
    assert read_states(fleet, jobs) == {JobState.done}


@pytest.mark.parametrize('moment', [0.0, 0.02, 0.05, 0.1, 0.3])
def test_crashes_are_counted_across_a_change_of_leader(moment: float) -> None:
    fleet = create_fleet()
    jobs = submit_sound_jobs(fleet)
    task = submit_crashing(fleet)
    while not fleet.caused_crashes[task]:
        fleet.run(0.01)
    fleet.run(moment)
    fleet.change_leader(0.5)
    while fleet.caused_crashes[task] < 2:
        fleet.run(0.01)
    fleet.run(moment)
    fleet.change_leader(0.5)
    fleet.run_until('x', JobState.failed, seconds=12)
    fleet.run(8)
    assert read_states(fleet, jobs) == {JobState.done}


def test_crashes_are_counted_across_restarts_of_agents() -> None:
    fleet = create_fleet()
    task = submit_crashing(fleet)
    while not fleet.caused_crashes[task]:
        fleet.run(0.01)
    fleet.run(0.5)
    for agent in fleet.agents:
        agent.restart()
    fleet.run_until('x', JobState.failed, seconds=12)


@pytest.mark.parametrize('keeps_names', [False, True])
def test_task_whose_starts_are_unanswered_is_a_suspect(
    keeps_names: bool,
) -> None:
    fleet = create_fleet(workers=3)
    fleet.keeps_names = keeps_names
    fleet.work_by_task['x.0.0.0'] = CRASHING
    fleet.next_faults = [Fault.answer_lost]
    fleet.submit('x', [create_step(1)], SimulatedWork(2))
    while fleet.caused_crashes['x.0.0.0'] < 2:
        fleet.run(0.01)
    # Only the second crash is known to have come under the task.
    assert fleet.replica.state.batch.tasks_by_name['x.0.0.0'].is_suspect
    fleet.run_until('x', JobState.failed, seconds=20)
    assert fleet.caused_crashes['x.0.0.0'] <= 3


def test_start_that_was_never_sent_is_not_counted() -> None:
    fleet = create_fleet(workers=1)
    worker = fleet.agents[0].worker
    worker.crash()
    fleet.submit('a', [create_step(2)], SimulatedWork(2))
    fleet.run(3)
    worker.start_incarnation('other')
    fleet.run_until('a', JobState.done, seconds=8)
    assert not fleet.replica.state.batch.suspects_by_name


def test_silent_worker_makes_no_suspects() -> None:
    fleet = create_fleet(workers=3)
    fleet.submit('a', [create_step(1)], SimulatedWork(5))
    fleet.run(0.2)
    agent = find_agent(fleet, 'a.0.0.0')
    agent.is_partitioned = True
    fleet.run(9)
    assert not fleet.replica.state.batch.suspects_by_name
    assert not fleet.replica.state.batch.tasks_by_name['a.0.0.0'].crashes


def test_leaving_worker_makes_no_suspects() -> None:
    fleet = create_fleet(workers=3)
    fleet.submit('a', [create_step(1)], SimulatedWork(5))
    fleet.run(0.2)
    agent = find_agent(fleet, 'a.0.0.0')
    agent.announce_draining()
    fleet.run(0.2)
    agent.worker.start_incarnation('other')
    fleet.run(3)
    assert not fleet.replica.state.batch.suspects_by_name
    assert not fleet.replica.state.batch.tasks_by_name['a.0.0.0'].crashes


def test_instance_that_goes_as_a_whole_makes_no_suspects() -> None:
    fleet = create_fleet(workers=3)
    fleet.submit('a', [create_step(1)], SimulatedWork(5))
    fleet.run(0.2)
    agent = find_agent(fleet, 'a.0.0.0')
    agent.restart()
    agent.worker.start_incarnation('other')
    fleet.run(3)
    assert not fleet.replica.state.batch.suspects_by_name
    assert not fleet.replica.state.batch.tasks_by_name['a.0.0.0'].crashes


def test_workers_that_crash_together_give_up_no_suspect() -> None:
    fleet = create_fleet(workers=6)
    for agent in fleet.agents:
        agent.worker.identity = attrs.evolve(
            agent.worker.identity, data_centre='dc'
        )
    fleet.run(2)
    fleet.submit('a', [create_step(4)], SimulatedWork(4))
    fleet.run(0.1)
    crash_under(fleet, 'a.0.0.0', 'b-1')
    suspects = {}
    while not suspects:
        fleet.run(0.01)
        suspects = fleet.replica.state.batch.suspects_by_name
    while 'a.0.0.0' not in fleet.find_workers_by_task():
        fleet.run(0.01)
    fleet.run(0.1)
    for number, agent in enumerate(fleet.agents):
        agent.worker.start_incarnation(f'c-{number}')
    fleet.run_until('a', JobState.done, seconds=20)


@pytest.mark.parametrize('seed', range(8))
def test_sound_tasks_survive_repeated_crashes_of_workers(seed: int) -> None:
    fleet = create_fleet()
    random = Random(seed)
    fleet.submit('a', [create_step(12, millicores=500)], SimulatedWork(3))
    fleet.submit(
        'b', [create_step(3, millicores=500, lasting=True)], SimulatedWork(1000)
    )
    for number in range(8):
        fleet.run(random.uniform(1, 3))
        worker = random.choice(fleet.agents).worker
        worker.start_incarnation(f'w-{number}')
    fleet.run_until('a', JobState.done, seconds=30)
    fleet.run(3)
    assert fleet.read_state('b') is JobState.running
    assert len(fleet.find_workers_by_task()) == 3


def test_many_suspects_are_back_within_seconds_beside_fresh_jobs() -> None:
    fleet = create_fleet(workers=11)
    for agent in fleet.agents[1:]:
        agent.announce_draining()
    fleet.run(0.1)
    fleet.submit(
        'a', [create_step(56, millicores=60, memory_mb=10)], SimulatedWork(20)
    )
    fleet.run(0.2)
    for number, agent in enumerate(fleet.agents[1:]):
        agent.worker.start_incarnation(f'free-{number}')
    fleet.run(2)
    assert len(fleet.find_workers_by_task()) == 56
    fleet.agents[0].worker.start_incarnation('again')
    fleet.run(1)
    fleet.submit('fresh', [create_step(4)], SimulatedWork(0.5))
    assert fleet.run_until('fresh', JobState.done, seconds=3) < 1.5
    fleet.run(9)
    assert len(fleet.find_workers_by_task()) == 56


def test_gang_with_a_crashing_member_fails() -> None:
    fleet = create_fleet()
    jobs = submit_sound_jobs(fleet)
    fleet.work_by_task['g.0.0.2'] = CRASHING
    fleet.submit('g', [create_step(3, gang=True)], SimulatedWork(3))
    fleet.run_until('g', JobState.failed, seconds=20)
    assert fleet.caused_crashes['g.0.0.2'] <= 3
    fleet.run(8)
    assert read_states(fleet, jobs) == {JobState.done}


def test_sound_gang_whose_worker_crashed_starts_again() -> None:
    fleet = create_fleet(workers=3)
    fleet.submit('g', [create_step(9, gang=True)], SimulatedWork(3))
    fleet.run(0.2)
    crash_under(fleet, 'g.0.0.0', 'again')
    fleet.run_until('g', JobState.done, seconds=30)


def test_lasting_task_that_crashes_workers_is_given_up() -> None:
    fleet = create_fleet()
    jobs = submit_sound_jobs(fleet)
    fleet.work_by_task['l.0.0.0'] = CRASHING
    step = create_step(2, lasting=True, millicores=300)
    fleet.submit('l', [step], SimulatedWork(1000))
    fleet.run_until('l', JobState.failed, seconds=15)
    fleet.run(8)
    assert read_states(fleet, jobs) == {JobState.done}
    assert not fleet.find_workers_by_task()


@pytest.mark.parametrize('seconds', [0.3, 1.0, 2.0, 5.0])
def test_task_that_crashes_workers_late_is_given_up(seconds: float) -> None:
    fleet = create_fleet()
    fleet.work_by_task['x.0.0.0'] = SimulatedWork(
        1000, crash_after_seconds=seconds
    )
    fleet.submit('x', [create_step(1)], SimulatedWork(2))
    fleet.run_until('x', JobState.failed, seconds=60)


def test_job_that_is_given_up_stops_and_releases_its_capacity() -> None:
    fleet = create_fleet(workers=3)
    fleet.work_by_task['x.0.0.1'] = CRASHING
    fleet.submit('x', [create_step(6)], SimulatedWork(1000))
    fleet.run_until('x', JobState.failed, seconds=15)
    fleet.run(4)
    assert not fleet.find_workers_by_task()
    fleet.submit('a', [create_step(12)], SimulatedWork(0.5))
    fleet.run_until('a', JobState.done, seconds=2)


@pytest.mark.parametrize('gap_seconds', [0.45, 0.6])
def test_crashes_long_ago_do_not_isolate_lasting_tasks(
    gap_seconds: float,
) -> None:
    """Twice, workers crash, and those that took their tasks right after."""
    fleet = BatchFleet(workers=8)
    fleet.run(1.5)
    step = create_step(16, lasting=True, millicores=500)
    fleet.submit('j', [step], SimulatedWork(1000))
    for _ in range(4):
        fleet.run(30)
        hits = crash_busy_workers(fleet)
        fleet.run(gap_seconds)
        hits.extend(crash_busy_workers(fleet))
        fleet.run(1)
        for agent in hits:
            agent.worker.start_incarnation()
            agent.announce()
        fleet.run(3)
        assert len(fleet.find_workers_by_task()) == 16
