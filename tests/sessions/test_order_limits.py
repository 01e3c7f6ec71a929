"""Limits of the time in which orders to start a run leave its agent."""

import pytest

from tests.sessions.batch_fakes import (
    LEASE_MS,
    BatchFleet,
    FakeAgent,
    create_step,
)
from tests.sessions.test_lost_machines import find_agent, lose_machine
from wasabiturn.batch.orders.order_limits import SEND_MS
from wasabiturn.messages.kinds import JobState
from wasabiturn.messages.limits import ORDER_LIFETIME_SECONDS
from wasabiturn.process.control.batch.leader_term import (
    CLOCK_STORE_SECONDS,
    LEASE_DRIFT_FACTOR,
    LEASE_MARGIN_SECONDS,
)
from wasabiturn.standins.batch_worker import Fault, SimulatedWork

LONG_WORK = SimulatedWork(1000)
LEASE_SECONDS = LEASE_MS / 1000 * LEASE_DRIFT_FACTOR + LEASE_MARGIN_SECONDS
# Commits, and the review that finds a task free.
STEPS_SECONDS = 0.3
MAX_WAIT_SECONDS = (
    SEND_MS / 1000 + ORDER_LIFETIME_SECONDS + LEASE_SECONDS + STEPS_SECONDS
)


def lose_before_the_answer(fleet: BatchFleet) -> float:
    """Lose a machine that has an order; return the time of the order."""
    while not fleet.start_orders:
        fleet.clock.advance(0.001)
    order = fleet.start_orders[0]
    lose_machine(find_agent(fleet, order.worker))
    return order.at


@pytest.mark.parametrize('away_seconds', [0.2, 1.5])
def test_wait_for_an_order_does_not_begin_anew_with_each_leader(
    away_seconds: float,
) -> None:
    fleet = BatchFleet(workers=2)
    fleet.run(1.5)
    fleet.submit('j', [create_step(1)], LONG_WORK)
    ordered_at = lose_before_the_answer(fleet)
    for _ in range(3):
        fleet.run(5 - away_seconds)
        fleet.change_leader(away_seconds)
    # The clock of the state stands still while a member restarts.
    max_wait = MAX_WAIT_SECONDS + 3 * (away_seconds + CLOCK_STORE_SECONDS)
    fleet.run(max_wait + ordered_at - fleet.clock.seconds())
    workers = {worker for _, _, _, worker in fleet.run_starts}
    assert find_agent(fleet, fleet.start_orders[0].worker).is_partitioned
    assert len(workers - {fleet.start_orders[0].worker}) == 1


def watch_limits(fleet: BatchFleet, agent: FakeAgent, seconds: float) -> None:
    """Check each order that the agent sends against the committed limit."""
    until = fleet.clock.seconds() + seconds
    seen = len(fleet.start_orders)
    while fleet.clock.seconds() < until:
        fleet.run(0.01)
        for order in fleet.start_orders[seen:]:
            state = fleet.replica.state.batch
            limit_ms = state.tasks_by_name[order.task].order_limit_ms
            assert limit_ms
            assert order.worker == agent.worker.identity.worker
            assert order.at * 1000 <= limit_ms
        seen = len(fleet.start_orders)


def test_agent_repeats_no_order_before_a_later_limit_is_committed() -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(1.5)
    (agent,) = fleet.agents
    agent.worker.next_faults = [Fault.dropped] * 100
    fleet.submit('j', [create_step(1)], SimulatedWork(0.1))
    watch_limits(fleet, agent, 0.5)
    fleet.replica.commit_seconds = 4
    watch_limits(fleet, agent, 3)
    before = len(fleet.start_orders)
    assert fleet.clock.seconds() - fleet.start_orders[-1].at > 0.9
    watch_limits(fleet, agent, 6)
    assert len(fleet.start_orders) > before
    agent.worker.next_faults = []
    fleet.run_until('j', JobState.done, seconds=8)


@pytest.mark.parametrize('pause_seconds', [1.0, 1.9, 2.5, 4.0])
def test_paused_agent_sends_no_order_whose_time_has_passed(
    pause_seconds: float,
) -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(1.5)
    (agent,) = fleet.agents
    fleet.submit('j', [create_step(1)], SimulatedWork(0.1))
    while not fleet.replica.state.batch.active_by_name:
        fleet.clock.advance(0.001)
    agent.pause()
    assert not fleet.start_orders
    watch_limits(fleet, agent, pause_seconds)
    agent.resume()
    watch_limits(fleet, agent, 0.1)
    fleet.run_until('j', JobState.done, seconds=4)


def test_slow_worker_gets_its_order_repeated_after_the_first_limit() -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(1.5)
    (agent,) = fleet.agents
    agent.worker.next_faults = [Fault.dropped] * 100
    fleet.submit('j', [create_step(1)], SimulatedWork(0.1))
    watch_limits(fleet, agent, 3)
    assert not fleet.run_starts
    agent.worker.next_faults = []
    fleet.run_until('j', JobState.done, seconds=2)


def keep_no_limits(agent: FakeAgent, monkeypatch: pytest.MonkeyPatch) -> None:
    """Have an agent report as one of an earlier version does."""
    call = agent.call

    def call_without_clock(method: object, message: object, *rest: object):  # type: ignore[no-untyped-def]
        if hasattr(message, 'agent_clock_ms'):
            message.agent_clock_ms = 0
        return call(method, message, *rest)  # type: ignore[arg-type]

    monkeypatch.setattr(agent, 'call', call_without_clock)


def test_start_of_an_agent_that_keeps_no_limits_has_none(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = BatchFleet(workers=1)
    keep_no_limits(fleet.agents[0], monkeypatch)
    fleet.run(1.5)
    fleet.submit('j', [create_step(1)], LONG_WORK)
    fleet.run(0.1)
    (task,) = fleet.replica.state.batch.active_by_name.values()
    assert task.order_limit_ms == 0
    assert len(fleet.run_starts) == 1


def test_agent_of_an_earlier_version_that_follows_is_ordered_without_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(1.5)
    (agent,) = fleet.agents
    agent.worker.next_faults = [Fault.dropped] * 2
    fleet.submit('j', [create_step(1)], LONG_WORK)
    fleet.run(0.3)
    keep_no_limits(agent, monkeypatch)
    fleet.run(3)
    (task,) = fleet.replica.state.batch.active_by_name.values()
    assert task.order_limit_ms == 0
    assert len(fleet.run_starts) == 1
