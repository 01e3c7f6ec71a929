"""Test that a worker gets work, and no run twice, when its fence changes."""

import pytest

from tests.sessions.batch_fakes import BatchFleet, create_step
from tests.sessions.test_start_orders import (
    LATE_SECONDS,
    choose_worker,
    find_starts,
    restart_unseen,
    start_with_faults,
)
from wasabiturn.messages.kinds import JobState
from wasabiturn.standins.batch_worker import Fault, SimulatedWork

# A lease of 6 s, 3 % and 0.2 s more, the change of the leader, and two reports.
SILENT_WORKER_SECONDS = 9.0


def lead_the_same_term_again(fleet: BatchFleet) -> None:
    """End the term as after a failed commit; the next tick begins it again."""
    fleet.leader._stop_leading()


def test_leader_of_the_same_term_does_not_end_an_open_start() -> None:
    fleet = BatchFleet(workers=2)
    start_with_faults(fleet, Fault.late)
    fleet.run(0.05)
    lead_the_same_term_again(fleet)
    fleet.run(LATE_SECONDS + 5)
    assert len(find_starts(fleet)) == 1


@pytest.mark.parametrize('restarts', [0, 3])
def test_worker_follows_the_leader_of_the_same_term(restarts: int) -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(30)
    for _ in range(restarts):
        fleet.agents[0].restart()
        fleet.run(2)
    lead_the_same_term_again(fleet)
    fleet.run(2)
    fleet.submit('a', [create_step(1)], SimulatedWork(1))
    fleet.run_until('a', JobState.done, seconds=10)


def test_agent_that_restarts_twice_does_not_settle_open_orders() -> None:
    fleet = BatchFleet(workers=2)
    agent = start_with_faults(fleet, Fault.late, Fault.refused)
    agent.restart()
    fleet.run(0.05)
    agent.restart()
    agent.announce()
    fleet.run(LATE_SECONDS + 5)
    assert len(find_starts(fleet)) == 1


@pytest.mark.parametrize('lasting', [True, False])
def test_run_of_a_worker_lost_with_the_leader_moves_after_its_lease(
    lasting: bool,
) -> None:
    fleet = BatchFleet(workers=2)
    fleet.run(1)
    choose_worker(fleet, 1)
    fleet.submit('a', [create_step(1, lasting=lasting)], SimulatedWork(200))
    fleet.run(20)
    choose_worker(fleet, 2)
    agent = fleet.agents[0]
    agent.is_partitioned = True
    agent.worker.crash()
    lost_at = fleet.clock.seconds()
    fleet.change_leader(1.5)
    fleet.run(lost_at + SILENT_WORKER_SECONDS - fleet.clock.seconds())
    assert len(find_starts(fleet)) == 2


def test_worker_serves_soon_after_its_runs_were_given_up() -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(1)
    (agent,) = fleet.agents
    agent.worker.next_faults = [Fault.dropped] * 3
    fleet.submit('a', [create_step(1)], SimulatedWork(1))
    fleet.run(0.2)
    agent.worker.refuses_holds = True
    fleet.run(9)
    agent.worker.refuses_holds = False
    # A hold and a report each for the old fence and the new one, and the work.
    fleet.run_until('a', JobState.done, seconds=4)


def test_revoked_start_begins_only_once_in_the_next_life() -> None:
    fleet = BatchFleet(workers=2)
    agent = start_with_faults(fleet, Fault.late, Fault.refused)
    agent.worker.keeps_late_orders = True
    late_at = fleet.start_orders[0].at + LATE_SECONDS
    fleet.run(late_at - 0.5 - fleet.clock.seconds())
    assert not find_starts(fleet)
    restart_unseen(fleet, agent, until=late_at + 0.5)
    fleet.run(LATE_SECONDS - 1)
    assert find_starts(fleet) == [(1, 'worker-1')]


def test_order_to_a_replaced_name_begins_only_once_when_the_name_returns() -> (
    None
):
    fleet = BatchFleet(workers=2)
    agent = start_with_faults(fleet, Fault.late)
    agent.worker.keeps_late_orders = True
    late_at = fleet.start_orders[0].at + LATE_SECONDS
    fleet.run(0.3)
    agent.worker.start_incarnation('other')
    agent.announce()
    fleet.run(late_at - 0.5 - fleet.clock.seconds())
    assert not find_starts(fleet)
    agent.worker.start_incarnation('worker-1')
    fleet.run(LATE_SECONDS)
    assert find_starts(fleet) == [(1, 'worker-1')]
