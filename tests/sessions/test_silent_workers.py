"""Tests of workers that answer nothing any more while their agents live on.

A start that was sent there holds its task for the lifetime of the order, as a
next life may carry it out. Such starts are not sent at all.
"""

import pytest

from tests.sessions.batch_fakes import BatchFleet, FakeAgent, create_step
from wasabiturn.messages.kinds import JobState
from wasabiturn.standins.batch_worker import SimulatedWork

LONG_WORK = SimulatedWork(3)
LASTING = SimulatedWork(1000)
# The loss comes so long before the jobs, as in review case 7.
GAP_SECONDS = 0.2
MAX_IDLE_SECONDS = 3.0
JOBS = [f'b{number}' for number in range(6)]
LASTING_TASKS = 6


def create_fleet_with_silent_worker(gap_seconds: float) -> BatchFleet:
    fleet = BatchFleet(workers=3)
    fleet.run(3)
    fleet.agents[0].worker.fall_silent()
    fleet.run(gap_seconds)
    return fleet


def submit_all(fleet: BatchFleet) -> None:
    step = create_step(LASTING_TASKS, lasting=True, millicores=300)
    fleet.submit('l', [step], LASTING)
    for job in JOBS:
        fleet.submit(job, [create_step(1, millicores=300)], LONG_WORK)


def list_begun(fleet: BatchFleet) -> set[str]:
    return {task for _, task, _, _ in fleet.run_starts}


def list_orders(fleet: BatchFleet, agent: FakeAgent) -> list[str]:
    name = agent.worker.identity.worker
    return [each.task for each in fleet.start_orders if each.worker == name]


@pytest.mark.parametrize('gap_seconds', [GAP_SECONDS, 1.0, 4.0])
def test_tasks_do_not_wait_for_a_silent_worker(gap_seconds: float) -> None:
    """They waited for 28 s, though no order had reached the worker."""
    fleet = create_fleet_with_silent_worker(gap_seconds)
    submit_all(fleet)
    fleet.run(MAX_IDLE_SECONDS)
    assert len(list_begun(fleet)) == LASTING_TASKS + len(JOBS)
    assert not list_orders(fleet, fleet.agents[0])


def test_nothing_is_bound_to_a_worker_that_got_no_order() -> None:
    fleet = create_fleet_with_silent_worker(GAP_SECONDS)
    submit_all(fleet)
    fleet.run(MAX_IDLE_SECONDS)
    tasks = fleet.replica.state.batch.tasks_by_name.values()
    assert not any(task.is_bound for task in tasks)


@pytest.mark.parametrize('refusing_seconds', [0.0, 2.0, 8.0])
@pytest.mark.parametrize('away_seconds', [1.0, 5.0, 9.0])
def test_next_life_begins_no_second_run(
    refusing_seconds: float, away_seconds: float
) -> None:
    """The next life refuses holds, and carries out what was sent before."""
    fleet = create_fleet_with_silent_worker(GAP_SECONDS)
    agent = fleet.agents[0]
    agent.worker.keeps_late_orders = True
    submit_all(fleet)
    fleet.run(away_seconds)
    agent.refuse_control()
    agent.worker.answer_again()
    agent.worker.start_incarnation()
    fleet.run(refusing_seconds)
    agent.accept_control()
    # The fleet checks that no task has two runs.
    fleet.run(20)
    assert all(fleet.read_state(job) is JobState.done for job in JOBS)


def test_silent_worker_that_answers_again_gets_starts() -> None:
    fleet = create_fleet_with_silent_worker(2)
    fleet.agents[0].worker.answer_again()
    fleet.run(MAX_IDLE_SECONDS)
    for agent in fleet.agents[1:]:
        agent.announce_draining()
    fleet.run(0.1)
    fleet.submit('a', [create_step(1)], LONG_WORK)
    fleet.run(1)
    assert list_begun(fleet) == {'a.0.0.0'}


def test_only_silent_worker_does_not_keep_a_task_once_it_answers() -> None:
    """Starts are refused while it is silent, and counted as no attempts."""
    fleet = BatchFleet(workers=1)
    fleet.run(3)
    worker = fleet.agents[0].worker
    worker.fall_silent()
    fleet.run(GAP_SECONDS)
    fleet.submit('a', [create_step(1)], LONG_WORK)
    fleet.run(4)
    worker.answer_again()
    fleet.run_until('a', JobState.done, seconds=LONG_WORK.seconds + 5)
