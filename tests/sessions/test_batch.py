"""Whole sessions of queues, agents and workers, with faults."""

import os
from random import Random

import pytest

from tests.sessions.batch_fakes import BatchFleet, step
from wasabiturn.batch.interference import Pressure
from wasabiturn.messages.batch import BatchChange, DataCentreMark
from wasabiturn.messages.kinds import JobOutcome, JobState, RunEnding
from wasabiturn.standins.batch_worker import Fault, SimulatedWork

# Another range of seeds may be asked for, as `WASABITURN_SEEDS=1000:200`.
FIRST_SEED, SEEDS = map(
    int, os.environ.get('WASABITURN_SEEDS', '0:40').split(':')
)


def test_a_job_of_two_steps_is_done_in_the_time_of_its_work() -> None:
    fleet = BatchFleet()
    fleet.run(1)
    fleet.submit('a', [step(3), step(2, after=[0])])
    assert fleet.run_until('a', JobState.done, seconds=3) < 2.3


def test_the_next_step_starts_soon_after_the_last_end_is_listed() -> None:
    fleet = BatchFleet()
    fleet.run(1)
    fleet.submit('a', [step(2), step(1, after=[0])])
    fleet.run_until('a', JobState.done, seconds=3)
    last_end = max(at for at, task, _, _ in fleet.ended if task[:6] == 'a.0.0.')
    begin = next(at for at, task, _, _ in fleet.began if task == 'a.0.1.0')
    # One commit takes 10 ms here, and each step of the clock 10 ms.
    assert begin - last_end <= 0.08


def test_a_job_handed_in_twice_is_one_job() -> None:
    fleet = BatchFleet()
    fleet.run(1)
    fleet.submit('a', [step(2)])
    assert fleet.submit('a', [step(2)]).outcome is JobOutcome.ok
    fleet.run_until('a', JobState.done, seconds=3)
    assert len(fleet.began) == 2


def test_a_task_that_always_fails_ends_its_job_after_its_attempts() -> None:
    fleet = BatchFleet()
    fleet.run(1)
    fleet.submit('a', [step(1)], SimulatedWork(0.2, RunEnding.failed))
    fleet.run_until('a', JobState.failed, seconds=8)
    assert len(fleet.began) == 2


def test_a_cancelled_job_stops() -> None:
    fleet = BatchFleet()
    fleet.run(1)
    fleet.submit('a', [step(2, lasting=True)], SimulatedWork(1000))
    fleet.run(1)
    fleet.cancel('a')
    fleet.run(0.5)
    assert not fleet.running()
    assert fleet.state_of('a') is JobState.cancelled


def test_a_lasting_task_is_restarted_however_it_ends() -> None:
    fleet = BatchFleet()
    fleet.run(1)
    fleet.submit(
        'a', [step(1, lasting=True)], SimulatedWork(0.5, RunEnding.failed)
    )
    fleet.run(6)
    assert len(fleet.began) > 2
    assert fleet.state_of('a') is JobState.running


def test_runs_outlive_a_change_of_leader() -> None:
    fleet = BatchFleet()
    fleet.run(1)
    fleet.submit('a', [step(3)], SimulatedWork(4))
    fleet.run(1)
    fleet.change_leader(2)
    fleet.run_until('a', JobState.done, seconds=4)
    assert len(fleet.began) == 3


def test_a_start_that_was_not_answered_is_not_made_elsewhere() -> None:
    fleet = BatchFleet()
    fleet.run(1)
    fleet.fault_share = 1
    fleet.submit('a', [step(1)])
    fleet.run(2)
    fleet.fault_share = 0
    fleet.run_until('a', JobState.done, seconds=5)
    assert len({worker for _, _, _, worker in fleet.began}) == 1


def test_a_refusal_does_not_settle_an_earlier_order_without_an_answer() -> None:
    fleet = BatchFleet()
    fleet.run(1)
    fleet.next_faults = [Fault.late, Fault.refused]
    fleet.submit('a', [step(1)], SimulatedWork(8))
    # The first order is carried out after 5 s, unless it was settled.
    fleet.run_until('a', JobState.done, seconds=20)
    assert len(fleet.began) == 1


def test_a_worker_that_is_cut_off_loses_its_tasks_after_its_lease() -> None:
    fleet = BatchFleet(workers=2)
    fleet.run(1)
    fleet.submit('a', [step(1, lasting=True)], SimulatedWork(1000))
    fleet.run(1)
    (worker,) = fleet.running()['a.0.0.0']
    cut = next(
        agent
        for agent in fleet.agents
        if agent.worker.identity.worker == worker
    )
    cut.is_cut = True
    fleet.run(10)
    (other,) = fleet.running()['a.0.0.0']
    assert other != worker


def test_a_new_leader_gives_slowed_runs_their_speed_back() -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(1)
    fleet.submit('a', [step(1, fills=True, image='f')], SimulatedWork(1000))
    fleet.run(1)
    run = fleet.agents[0].worker.runs_by_task['a.0.0.0']
    run.pace = 0
    fleet.change_leader(1)
    fleet.run(3)
    assert run.pace == 100


def test_a_new_leader_knows_what_an_earlier_one_learnt_of_images() -> None:
    fleet = BatchFleet()
    fleet.run(1)
    lead = fleet.leader._leader_term
    assert lead is not None
    lead.interference.pressure_by_pair['s', 'f'] = Pressure(
        level=5,
        variance=0.5,
        seen_at=fleet.clock.seconds(),
    )
    fleet.run(3)
    fleet.change_leader(1)
    fleet.run(0.2)
    lead = fleet.leader._leader_term
    assert lead is not None
    learnt = lead.interference.pressure('s', 'f', fleet.clock.seconds())
    assert learnt == pytest.approx(5, abs=0.3)


def test_a_worker_takes_work_soon_after_it_announced_itself() -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(2)
    fleet.agents[0].worker.start_incarnation()
    fleet.run(0.5)
    fleet.agents[0].announce()
    fleet.submit('a', [step(1)], SimulatedWork(0.1))
    assert fleet.run_until('a', JobState.done, seconds=2) < 0.5


def test_a_new_leader_knows_which_workers_a_loss_of_power_ended() -> None:
    fleet = BatchFleet(workers=2)
    fleet.run(1)
    fleet.submit('a', [step(3, lasting=True)], SimulatedWork(1000))
    fleet.run(1)
    for agent in fleet.agents:
        agent.worker.start_incarnation(name=f'{agent.name}-again')
        agent.restart()
    fleet.change_leader(1)
    fleet.run(1.5)
    # The lease of the lives before would last for six seconds.
    assert len(fleet.running()) == 3


def test_a_worker_with_another_life_runs_nothing_of_before() -> None:
    fleet = BatchFleet(workers=2)
    fleet.run(1)
    fleet.submit('a', [step(2)], SimulatedWork(3))
    fleet.run(1)
    fleet.agents[0].worker.start_incarnation()
    fleet.run_until('a', JobState.done, seconds=9)


def test_nothing_starts_in_a_data_centre_that_is_out() -> None:
    fleet = BatchFleet(workers=2)
    fleet.run(1)
    mark = DataCentreMark(data_centre='dc-1', out=True)
    fleet.change(BatchChange(marks=[mark]))
    fleet.submit('a', [step(4)])
    fleet.run_until('a', JobState.done, seconds=3)
    assert {worker for _, _, _, worker in fleet.began} == {'worker-2'}


@pytest.mark.parametrize('seed', range(FIRST_SEED, FIRST_SEED + SEEDS))
def test_promises_hold_under_random_faults(seed: int) -> None:
    fleet = BatchFleet(workers=3, seed=seed)
    fleet.fault_share = 0.1
    random = Random(seed)
    fleet.run(1)
    for number in range(12):
        steps = [step(random.randint(1, 3))]
        if random.random() < 0.6:
            steps.append(step(random.randint(1, 3), after=[0]))
        fleet.submit(f'j{number}', steps, SimulatedWork(random.uniform(0.1, 2)))
        _cause_trouble(fleet, random)
        fleet.run(random.uniform(0.1, 1.5))
    fleet.fault_share = 0
    for agent in fleet.agents:
        agent.is_cut = False
    for number in range(12):
        fleet.run_until(f'j{number}', JobState.done, seconds=40)


@pytest.mark.parametrize('seed', range(FIRST_SEED, FIRST_SEED + SEEDS))
def test_lasting_and_cancelled_jobs_under_random_faults(seed: int) -> None:
    fleet = BatchFleet(workers=3, seed=seed)
    fleet.fault_share = 0.1
    random = Random(seed)
    fleet.run(1)
    cancelled: set[str] = set()
    for number in range(8):
        steps = [step(2, lasting=True, millicores=random.choice([200, 500]))]
        fleet.submit(
            f'l{number}', steps, SimulatedWork(random.choice([0.7, 1000]))
        )
        _cause_trouble(fleet, random)
        fleet.run(random.uniform(0.1, 1.5))
        if random.random() < 0.4:
            fleet.cancel(f'l{number}')
            cancelled.add(f'l{number}')
    fleet.fault_share = 0
    for agent in fleet.agents:
        agent.is_cut = False
    fleet.run(15)
    running = {task.partition('.')[0] for task in fleet.running()}
    assert not running & cancelled
    fleet.work_by_job = {
        name: SimulatedWork(1000) for name in fleet.work_by_job
    }
    fleet.run(3)
    wanted = {f'l{number}' for number in range(8)} - cancelled
    assert len(fleet.running()) == 2 * len(wanted)


def _cause_trouble(fleet: BatchFleet, random: Random) -> None:
    agent = random.choice(fleet.agents)
    trouble = random.random()
    if trouble < 0.12:
        fleet.change_leader(random.uniform(0.5, 3))
    elif trouble < 0.24:
        agent.worker.start_incarnation(
            random.choice(['', f'w-{random.random()}'])
        )
    elif trouble < 0.36:
        agent.is_cut = not agent.is_cut
    elif trouble < 0.44:
        agent.restart()
