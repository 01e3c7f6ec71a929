"""Lasting tasks whose orders had no answer when their workers went."""

import pytest

from tests.sessions.batch_fakes import BatchFleet, FakeAgent, create_step
from tests.sessions.test_bound_tasks import open_both_data_centres
from tests.sessions.test_lost_machines import lose_machine
from tests.sessions.test_start_orders import (
    LATE_SECONDS,
    TASK,
    choose_worker,
    find_starts,
    restart_unseen,
)
from wasabiturn.messages.kinds import RunEnding
from wasabiturn.standins.batch_worker import Fault, SimulatedWork

# What a lasting task may take: 4 s that are calm, and 3 s.
MAX_AWAY_SECONDS = 7.0
MANY = 100
# The leases of earlier leaders have ended.
WARM_UP_SECONDS = 9
LASTING = SimulatedWork(1000)


def start_unanswered(
    fleet: BatchFleet,
    *faults: Fault,
    work: SimulatedWork = LASTING,
    late_seconds: float = LATE_SECONDS,
) -> FakeAgent:
    """Send a lasting task to the first worker, which does not answer."""
    fleet.run(1)
    choose_worker(fleet, 1)
    agent = fleet.agents[0]
    agent.worker.next_faults = list(faults or [Fault.late])
    agent.worker.late_delay_seconds = late_seconds
    fleet.submit('a', [create_step(1, lasting=True)], work)
    while not fleet.start_orders:
        fleet.run(0.01)
    open_both_data_centres(fleet)
    return agent


def assert_runs_on_second(fleet: BatchFleet) -> None:
    fleet.run(MAX_AWAY_SECONDS)
    assert fleet.find_workers_by_task()[TASK] == ['worker-2']


def test_lasting_task_of_a_worker_that_is_gone_for_good_is_not_held() -> None:
    fleet = BatchFleet(workers=2)
    agent = start_unanswered(fleet)
    agent.worker.crash()
    assert_runs_on_second(fleet)


@pytest.mark.parametrize('name', ['', 'other'])
def test_lasting_task_is_not_held_by_a_next_life_without_room(
    name: str,
) -> None:
    fleet = BatchFleet(workers=2)
    agent = start_unanswered(fleet)
    agent.worker.start_incarnation(name)
    agent.worker.change_capacity(millicores=500)
    agent.announce()
    assert_runs_on_second(fleet)


def test_lasting_task_of_a_worker_that_left_is_not_held() -> None:
    fleet = BatchFleet(workers=2)
    agent = start_unanswered(fleet)
    agent.announce_draining()
    fleet.run(0.5)
    agent.worker.crash()
    assert_runs_on_second(fleet)


def test_lasting_task_of_a_silent_worker_is_not_held() -> None:
    fleet = BatchFleet(workers=2)
    fleet.run(1)
    agent = fleet.agents[0]
    agent.worker.refuses_holds = True
    start_unanswered(fleet)
    agent.worker.next_faults = [Fault.dropped] * MANY
    assert_runs_on_second(fleet)


def test_lasting_task_under_way_to_a_lost_machine_is_not_held() -> None:
    fleet = BatchFleet(workers=2)
    agent = start_unanswered(fleet)
    lose_machine(agent)
    assert_runs_on_second(fleet)


def test_lasting_task_that_failed_where_nothing_starts_is_not_held() -> None:
    fleet = BatchFleet(workers=2)
    work = SimulatedWork(0.5, ending=RunEnding.failed)
    start_unanswered(fleet, work=work)
    while not fleet.run_starts:
        fleet.run(0.1)
    choose_worker(fleet, 2)
    fleet.work_by_job['a'] = LASTING
    assert_runs_on_second(fleet)


def test_lasting_task_that_ran_is_not_held_by_an_earlier_order() -> None:
    fleet = BatchFleet(workers=2)
    agent = start_unanswered(fleet)
    fleet.run(3)
    assert find_starts(fleet) == [(1, 'worker-1')]
    agent.worker.crash()
    assert_runs_on_second(fleet)


def test_life_that_has_not_listed_its_runs_holds_a_lasting_task() -> None:
    fleet = BatchFleet(workers=2)
    fleet.run(WARM_UP_SECONDS)
    agent = fleet.agents[0]
    agent.worker.keeps_late_orders = True
    start_unanswered(fleet, late_seconds=1.5)
    fleet.run(0.1)
    agent.worker.start_incarnation()
    agent.restart()
    agent.announce()
    fleet.run(0.005)
    agent.refuse_control()
    fleet.run(MAX_AWAY_SECONDS)
    assert find_starts(fleet) == [(1, 'worker-1')]


def test_earlier_order_holds_a_lasting_task_in_the_life_after_next() -> None:
    fleet = BatchFleet(workers=2)
    agent = fleet.agents[0]
    agent.worker.keeps_late_orders = True
    start_unanswered(fleet, Fault.late, Fault.refused, late_seconds=6)
    choose_worker(fleet, 1)
    fleet.run(3)
    open_both_data_centres(fleet)
    late_at = fleet.start_orders[0].at + 6
    fleet.run(late_at - 0.3 - fleet.clock.seconds())
    restart_unseen(fleet, agent, until=late_at + 0.2)
    agent.announce()
    fleet.run(MAX_AWAY_SECONDS)
    assert len(fleet.find_workers_by_task()[TASK]) == 1


def test_lasting_task_of_a_name_that_moved_is_not_held() -> None:
    fleet = BatchFleet(workers=3)
    agent = start_unanswered(fleet, late_seconds=14)
    fleet.run(0.2)
    lose_machine(agent)
    other = fleet.agents[1].worker
    other.start_incarnation('worker-1')
    other.change_capacity(millicores=500)
    fleet.agents[1].announce()
    fleet.run(MAX_AWAY_SECONDS)
    assert len(find_starts(fleet)) == 1
