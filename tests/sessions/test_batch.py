"""Test queues' jobs with a leader, agents and workers, with faults."""

import os
from random import Random
from typing import Any

import pytest

from tests.sessions.batch_fakes import BatchFleet, create_step
from wasabiturn.batch.placing.interference import Pressure
from wasabiturn.messages.batch import BatchChange, DataCentreMark
from wasabiturn.messages.kinds import JobOutcome, JobState, RunEnding
from wasabiturn.process.agent.runs.hold_delay import (
    ACKNOWLEDGEMENT_WAIT_SECONDS,
)
from wasabiturn.process.control.batch import starts
from wasabiturn.standins.batch_worker import Fault, SimulatedWork

# WASABITURN_SEEDS=1000:200 selects 200 seeds from 1000 on.
FIRST_SEED, SEED_COUNT = map(
    int, os.environ.get('WASABITURN_SEEDS', '0:40').split(':')
)


def test_two_step_job_adds_little_to_the_time_of_its_work() -> None:
    fleet = BatchFleet()
    fleet.run(1)
    fleet.submit('a', [create_step(3), create_step(2, after=[0])])
    assert fleet.run_until('a', JobState.done, seconds=3) < 2.3


def test_next_step_starts_soon_after_the_previous_step_ends() -> None:
    fleet = BatchFleet()
    fleet.run(1)
    fleet.submit('a', [create_step(2), create_step(1, after=[0])])
    fleet.run_until('a', JobState.done, seconds=3)
    last_end = max(
        at for at, task, _, _ in fleet.run_ends if task[:6] == 'a.0.0.'
    )
    next_start = next(
        at for at, task, _, _ in fleet.run_starts if task == 'a.0.1.0'
    )
    # One commit takes 10 ms here, and each step of the clock 10 ms.
    assert next_start - last_end <= 0.08


def test_job_submitted_twice_runs_once() -> None:
    fleet = BatchFleet()
    fleet.run(1)
    fleet.submit('a', [create_step(2)])
    assert fleet.submit('a', [create_step(2)]).outcome is JobOutcome.ok
    fleet.run_until('a', JobState.done, seconds=3)
    assert len(fleet.run_starts) == 2


def test_job_fails_when_a_task_exhausts_its_attempts() -> None:
    fleet = BatchFleet()
    fleet.run(1)
    fleet.submit('a', [create_step(1)], SimulatedWork(0.2, RunEnding.failed))
    fleet.run_until('a', JobState.failed, seconds=8)
    assert len(fleet.run_starts) == 2


def test_cancelled_job_stops() -> None:
    fleet = BatchFleet()
    fleet.run(1)
    fleet.submit('a', [create_step(2, lasting=True)], SimulatedWork(1000))
    fleet.run(1)
    fleet.cancel('a')
    fleet.run(0.5)
    assert not fleet.find_workers_by_task()
    assert fleet.read_state('a') is JobState.cancelled


def test_lasting_task_is_restarted_however_it_ends() -> None:
    fleet = BatchFleet()
    fleet.run(1)
    fleet.submit(
        'a',
        [create_step(1, lasting=True)],
        SimulatedWork(0.5, RunEnding.failed),
    )
    fleet.run(6)
    assert len(fleet.run_starts) > 2
    assert fleet.read_state('a') is JobState.running


def test_runs_survive_a_change_of_leader() -> None:
    fleet = BatchFleet()
    fleet.run(1)
    fleet.submit('a', [create_step(3)], SimulatedWork(4))
    fleet.run(1)
    fleet.change_leader(2)
    fleet.run_until('a', JobState.done, seconds=4)
    assert len(fleet.run_starts) == 3


def test_unanswered_start_is_not_sent_to_another_worker() -> None:
    fleet = BatchFleet()
    fleet.run(1)
    fleet.fault_probability = 1
    fleet.submit('a', [create_step(1)])
    fleet.run(2)
    fleet.fault_probability = 0
    fleet.run_until('a', JobState.done, seconds=5)
    assert len({worker for _, _, _, worker in fleet.run_starts}) == 1


def test_refusal_does_not_settle_an_earlier_unanswered_order() -> None:
    fleet = BatchFleet()
    fleet.run(1)
    fleet.next_faults = [Fault.late, Fault.refused]
    fleet.submit('a', [create_step(1)], SimulatedWork(8))
    # The worker executes the first order after 5 s unless the agent has revoked
    # it. If the refusal counted as final, the task would be started twice.
    fleet.run_until('a', JobState.done, seconds=20)
    assert len(fleet.run_starts) == 1


def test_tasks_of_partitioned_worker_move_after_lease_expiry() -> None:
    fleet = BatchFleet(workers=2)
    fleet.run(1)
    fleet.submit('a', [create_step(1, lasting=True)], SimulatedWork(1000))
    fleet.run(1)
    (worker,) = fleet.find_workers_by_task()['a.0.0.0']
    partitioned = next(
        agent
        for agent in fleet.agents
        if agent.worker.identity.worker == worker
    )
    partitioned.is_partitioned = True
    fleet.run(10)
    (other,) = fleet.find_workers_by_task()['a.0.0.0']
    assert other != worker


def test_new_leader_restores_the_pace_of_slowed_runs() -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(1)
    fleet.submit(
        'a', [create_step(1, fills=True, image='f')], SimulatedWork(1000)
    )
    fleet.run(1)
    run = fleet.agents[0].worker.runs_by_task['a.0.0.0']
    run.pace = 0
    fleet.change_leader(1)
    fleet.run(3)
    assert run.pace == 100


def test_new_leader_restores_interference_estimates() -> None:
    fleet = BatchFleet()
    fleet.run(1)
    leader_term = fleet.leader._leader_term
    assert leader_term is not None
    leader_term.interference.pressure_by_pair['s', 'f'] = Pressure(
        level=5,
        variance=0.5,
        seen_at=fleet.clock.seconds(),
    )
    fleet.run(3)
    fleet.change_leader(1)
    fleet.run(0.2)
    leader_term = fleet.leader._leader_term
    assert leader_term is not None
    restored_pressure = leader_term.interference.pressure(
        's', 'f', fleet.clock.seconds()
    )
    assert restored_pressure == pytest.approx(5, abs=0.3)


def test_worker_starts_tasks_soon_after_its_announcement() -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(2)
    fleet.agents[0].worker.start_incarnation()
    fleet.run(0.5)
    fleet.agents[0].announce()
    fleet.submit('a', [create_step(1)], SimulatedWork(0.1))
    assert fleet.run_until('a', JobState.done, seconds=2) < 0.5


def test_new_leader_detects_workers_ended_by_a_power_loss() -> None:
    fleet = BatchFleet(workers=2)
    fleet.run(1)
    fleet.submit('a', [create_step(3, lasting=True)], SimulatedWork(1000))
    fleet.run(1)
    for agent in fleet.agents:
        agent.worker.start_incarnation(name=f'{agent.name}-again')
        agent.restart()
    fleet.change_leader(1)
    fleet.run(1.5)
    # The leases of the previous incarnations would last 6 seconds.
    assert len(fleet.find_workers_by_task()) == 3


def test_new_incarnation_runs_nothing_of_the_previous_one() -> None:
    fleet = BatchFleet(workers=2)
    fleet.run(1)
    fleet.submit('a', [create_step(2)], SimulatedWork(3))
    fleet.run(1)
    fleet.agents[0].worker.start_incarnation()
    fleet.run_until('a', JobState.done, seconds=9)


def test_ordered_job_counts_as_pending_until_a_run_has_begun() -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(1)
    fleet.next_faults = [Fault.dropped, Fault.dropped, Fault.dropped]
    fleet.submit('a', [create_step(1)], SimulatedWork(5))
    fleet.run(1)
    assert fleet.count_pending() == 1
    fleet.run(3)
    assert fleet.find_workers_by_task()
    assert fleet.count_pending() == 0
    fleet.change_leader(1)
    # A hold of up to 1 s is answered before the new leader hears of the run.
    fleet.run(1.5)
    assert fleet.count_pending() == 0


@pytest.mark.parametrize('name', ['', 'another'])
def test_crashed_worker_runs_tasks_again_once_it_is_back(name: str) -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(1)
    fleet.submit('a', [create_step(1)], SimulatedWork(3))
    fleet.run(1)
    worker = fleet.agents[0].worker
    worker.crash()
    fleet.run(2)
    worker.start_incarnation(name=name)
    fleet.run_until('a', JobState.done, seconds=6)


def test_no_task_starts_in_a_data_centre_marked_out() -> None:
    fleet = BatchFleet(workers=2)
    fleet.run(1)
    mark = DataCentreMark(data_centre='dc-1', out=True)
    fleet.mark_data_centres(BatchChange(marks=[mark]))
    fleet.submit('a', [create_step(4)])
    fleet.run_until('a', JobState.done, seconds=3)
    assert {worker for _, _, _, worker in fleet.run_starts} == {'worker-2'}


@pytest.mark.parametrize('seed', range(FIRST_SEED, FIRST_SEED + SEED_COUNT))
def test_invariants_hold_under_random_faults(seed: int) -> None:
    fleet = BatchFleet(workers=3, seed=seed)
    fleet.fault_probability = 0.1
    random = Random(seed)
    fleet.run(1)
    for number in range(12):
        steps = [create_step(random.randint(1, 3))]
        if random.random() < 0.6:
            steps.append(create_step(random.randint(1, 3), after=[0]))
        fleet.submit(f'j{number}', steps, SimulatedWork(random.uniform(0.1, 2)))
        _inject_random_fault(fleet, random)
        fleet.run(random.uniform(0.1, 1.5))
    fleet.fault_probability = 0
    for agent in fleet.agents:
        agent.is_partitioned = False
    for number in range(12):
        fleet.run_until(f'j{number}', JobState.done, seconds=40)


@pytest.mark.parametrize('seed', range(FIRST_SEED, FIRST_SEED + SEED_COUNT))
def test_lasting_and_cancelled_jobs_under_random_faults(seed: int) -> None:
    fleet = BatchFleet(workers=3, seed=seed)
    fleet.fault_probability = 0.1
    random = Random(seed)
    fleet.run(1)
    cancelled: set[str] = set()
    for number in range(8):
        steps = [
            create_step(2, lasting=True, millicores=random.choice([200, 500]))
        ]
        fleet.submit(
            f'l{number}', steps, SimulatedWork(random.choice([0.7, 1000]))
        )
        _inject_random_fault(fleet, random)
        fleet.run(random.uniform(0.1, 1.5))
        if random.random() < 0.4:
            fleet.cancel(f'l{number}')
            cancelled.add(f'l{number}')
    fleet.fault_probability = 0
    for agent in fleet.agents:
        agent.is_partitioned = False
    fleet.run(15)
    running_jobs = {
        task.partition('.')[0] for task in fleet.find_workers_by_task()
    }
    assert not running_jobs & cancelled
    fleet.work_by_job = {
        name: SimulatedWork(1000) for name in fleet.work_by_job
    }
    fleet.run(3)
    expected_jobs = {f'l{number}' for number in range(8)} - cancelled
    assert len(fleet.find_workers_by_task()) == 2 * len(expected_jobs)


def _inject_random_fault(fleet: BatchFleet, random: Random) -> None:
    agent = random.choice(fleet.agents)
    draw = random.random()
    if draw < 0.12:
        fleet.change_leader(random.uniform(0.5, 3))
    elif draw < 0.24:
        agent.worker.start_incarnation(
            random.choice(['', f'w-{random.random()}'])
        )
    elif draw < 0.36:
        agent.is_partitioned = not agent.is_partitioned
    elif draw < 0.44:
        agent.restart()


@pytest.mark.parametrize('errors', [1, 5])
def test_an_error_in_planning_delays_starts_but_ends_nothing(
    monkeypatch: pytest.MonkeyPatch, errors: int
) -> None:
    fleet = BatchFleet()
    plan_starts = starts.plan_starts
    left = [errors]

    def fail_at_first(*parts: Any) -> Any:
        if left[0]:
            left[0] -= 1
            raise ZeroDivisionError('unexpected')
        return plan_starts(*parts)

    monkeypatch.setattr(starts, 'plan_starts', fail_at_first)
    answer = fleet.submit('j', [create_step(2)])
    assert answer.outcome is JobOutcome.ok
    fleet.run_until('j', JobState.done, 5)


def test_an_end_that_is_not_acknowledged_yet_costs_few_holds() -> None:
    """A worker answers each hold at once while it lists such an end."""
    fleet = BatchFleet(workers=1)
    fleet.run(1)
    (agent,) = fleet.agents
    holds: list[float] = []
    hold = agent.worker.hold

    def count_holds(identity: Any, request: Any) -> Any:
        holds.append(fleet.clock.seconds())
        return hold(identity, request)

    agent.worker.hold = count_holds  # type: ignore[method-assign]
    fleet.submit('j', [create_step(1)], SimulatedWork(seconds=0.5))
    fleet.run(0.45)
    fleet.replica.leads = False
    fleet.run(0.1)
    holds.clear()
    fleet.run(1)
    assert len(holds) <= 1 / ACKNOWLEDGEMENT_WAIT_SECONDS + 2
