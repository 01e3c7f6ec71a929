"""Test workers that start again under their names while orders are open."""

import pytest

from tests.sessions.batch_fakes import (
    CLOCK_STEP_SECONDS,
    BatchFleet,
    FakeAgent,
    create_step,
)
from tests.sessions.test_start_orders import (
    LATE_SECONDS,
    TASK,
    choose_worker,
    find_starts,
    start_with_faults,
)
from wasabiturn.messages.kinds import JobState
from wasabiturn.messages.limits import ORDER_LIFETIME_SECONDS
from wasabiturn.standins.batch_worker import (
    TIMEOUT_SECONDS,
    Fault,
    SimulatedWork,
)

# Until an order without an answer is repeated: the timeout and 0.2 s.
REPEAT_SECONDS = TIMEOUT_SECONDS + 0.2


def restart_worker(
    agent: FakeAgent, away_seconds: float, fleet: BatchFleet
) -> None:
    """Crash the worker, and start it again under its name."""
    agent.worker.crash()
    fleet.run(away_seconds)
    agent.worker.start_incarnation()
    agent.announce()


def start_late_order(fleet: BatchFleet, *faults: Fault) -> FakeAgent:
    """Have a task ordered at a worker that carries out the first order late.

    The lease in the order is valid for as long in a next life.
    """
    fleet.run(2 * LATE_SECONDS)
    agent = start_with_faults(fleet, *faults)
    agent.worker.keeps_late_orders = True
    return agent


def test_list_settles_no_order_while_another_one_may_have_begun_the_run() -> (
    None
):
    fleet = BatchFleet(workers=2)
    fleet.run(1)
    choose_worker(fleet, 1)
    # Its end has the worker list its runs before it answers the second order.
    fleet.submit('b', [create_step(1)], SimulatedWork(2 * LATE_SECONDS + 2.1))
    agent = start_late_order(fleet, Fault.late)
    late_at = fleet.start_orders[1].at + LATE_SECONDS
    fleet.run(REPEAT_SECONDS - 0.05)
    agent.worker.answer_delay_seconds = 0.5
    fleet.run(1)
    assert [task for _, task, _, _ in fleet.run_starts] == ['b.0.0.0', TASK]
    fleet.run(late_at - 0.6 - fleet.clock.seconds())
    agent.worker.crash()
    fleet.run(0.5)
    agent.refuse_control()
    agent.worker.start_incarnation()
    fleet.run(LATE_SECONDS)
    begun = [(at, run) for at, task, run, _ in fleet.run_starts if task == TASK]
    assert (pytest.approx(late_at, abs=CLOCK_STEP_SECONDS), 1) in begun


def test_expired_order_of_a_silent_agent_is_not_taken_for_an_answered_one() -> (
    None
):
    fleet = BatchFleet(workers=2)
    agent = start_late_order(fleet, Fault.late)
    sent_at = fleet.start_orders[0].at
    agent.is_partitioned = True
    fleet.run(0.3)
    agent.refuse_control()
    restart_worker(agent, 0.1, fleet)
    fleet.run(sent_at + ORDER_LIFETIME_SECONDS + 0.5 - fleet.clock.seconds())
    assert find_starts(fleet) == [(1, 'worker-1')]
    agent.is_partitioned = False
    fleet.run(1.5)
    agent.accept_control()
    fleet.run(LATE_SECONDS)
    assert len(fleet.find_workers_by_task()[TASK]) == 1


def test_order_to_an_ended_life_is_void_though_the_leader_is_out_of_touch() -> (
    None
):
    fleet = BatchFleet(workers=2)
    agent = start_late_order(fleet, Fault.late)
    late_at = fleet.start_orders[0].at + LATE_SECONDS
    fleet.run(1)
    agent.is_partitioned = True
    fleet.run(late_at - 0.7 - fleet.clock.seconds())
    restart_worker(agent, 0.5, fleet)
    begun = len(fleet.run_starts)
    fleet.run(1)
    assert len(fleet.run_starts) == begun


def test_order_to_an_ended_life_is_void_though_the_next_one_refuses_holds() -> (
    None
):
    fleet = BatchFleet(workers=2)
    agent = start_late_order(fleet, Fault.late)
    late_at = fleet.start_orders[0].at + LATE_SECONDS
    fleet.run(late_at - 0.7 - fleet.clock.seconds())
    agent.worker.refuses_holds = True
    restart_worker(agent, 0.5, fleet)
    begun = len(fleet.run_starts)
    fleet.run(1)
    assert len(fleet.run_starts) == begun


@pytest.mark.parametrize('is_announced_at_once', [True, False])
@pytest.mark.parametrize('changes_leader', [True, False])
def test_worker_whose_wall_clock_was_set_back_gets_work_again(
    is_announced_at_once: bool, changes_leader: bool
) -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(10)
    (agent,) = fleet.agents
    agent.worker.start_incarnation()
    fleet.run(3)
    fleet.submit('a', [create_step(2)], SimulatedWork(30))
    fleet.run(1)
    agent.worker.start_incarnation(wall_clock_seconds=-5)
    if is_announced_at_once:
        agent.announce()
    if changes_leader:
        fleet.change_leader()
    fleet.run(5)
    assert len(agent.worker.runs_by_task) == 2
    fleet.run_until('a', JobState.done, seconds=60)


def test_agent_that_restarts_beside_a_clock_set_back_is_heard() -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(10)
    (agent,) = fleet.agents
    agent.worker.start_incarnation()
    fleet.run(3)
    agent.worker.start_incarnation(wall_clock_seconds=-5)
    agent.restart()
    fleet.run(3)
    fleet.submit('a', [create_step(1)], SimulatedWork(1))
    fleet.run_until('a', JobState.done, seconds=20)
