"""Starts that are offered to an agent before they may be carried out."""

import pytest

from tests.sessions.batch_fakes import (
    CLOCK_STEP_SECONDS,
    COMMIT_LATENCY_SECONDS,
    BatchFleet,
    FakeAgent,
    create_step,
)
from tests.sessions.test_lost_machines import MAX_AWAY_SECONDS, lose_machine
from wasabiturn.messages.kinds import JobState
from wasabiturn.standins.batch_worker import SimulatedWork

# A receipt is awaited for up to half a second, a commit takes 10 ms.
MAX_START_SECONDS = 0.7
LONG_WORK = SimulatedWork(60)
# Two commits (job, start) and four messages; each may wait for a clock step.
MAX_CALM_START_SECONDS = 2 * COMMIT_LATENCY_SECONDS + 6 * CLOCK_STEP_SECONDS


def find_starts(fleet: BatchFleet, agent: FakeAgent) -> list[str]:
    name = agent.worker.identity.worker
    return [task for _, task, _, worker in fleet.run_starts if worker == name]


@pytest.mark.parametrize('lost_seconds', [0.1, 0.5, 1.2, 2.4])
def test_task_does_not_wait_for_an_order_that_never_reached_its_agent(
    lost_seconds: float,
) -> None:
    fleet = BatchFleet(workers=3)
    fleet.run(1.5)
    lose_machine(fleet.agents[0])
    fleet.run(lost_seconds)
    fleet.submit('j', [create_step(6, millicores=500)], LONG_WORK)
    fleet.run(MAX_START_SECONDS)
    assert len({task for _, task, _, _ in fleet.run_starts}) == 6
    assert find_starts(fleet, fleet.agents[0]) == []


def test_silent_agent_gets_no_second_offer_before_it_is_heard() -> None:
    fleet = BatchFleet(workers=2)
    fleet.run(1.5)
    fleet.agents[0].pause()
    fleet.submit('a', [create_step(2, millicores=500)], LONG_WORK)
    fleet.run(MAX_START_SECONDS)
    fleet.submit('b', [create_step(2, millicores=500)], LONG_WORK)
    fleet.run(0.1)
    assert len(find_starts(fleet, fleet.agents[1])) == 4


def test_agent_that_is_heard_again_gets_starts() -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(1.5)
    fleet.agents[0].pause()
    fleet.submit('j', [create_step(2, millicores=500)], SimulatedWork(0.1))
    fleet.run(MAX_START_SECONDS)
    fleet.agents[0].resume()
    fleet.run_until('j', JobState.done, seconds=2)


def test_withdrawn_offer_is_not_permitted_by_a_late_receipt() -> None:
    fleet = BatchFleet(workers=2)
    fleet.run(1.5)
    fleet.agents[0].pause()
    fleet.submit('j', [create_step(4, millicores=500)], LONG_WORK)
    fleet.run(MAX_START_SECONDS)
    fleet.agents[0].resume()
    fleet.run(2)
    assert len(fleet.run_starts) == 4
    assert find_starts(fleet, fleet.agents[0]) == []


def test_gang_is_not_left_half_started_beside_an_agent_without_a_receipt() -> (
    None
):
    fleet = BatchFleet(workers=3)
    fleet.run(1.5)
    fleet.agents[0].pause()
    step = create_step(2, millicores=3000, gang=True)
    fleet.submit('j', [step], SimulatedWork(1))
    fleet.run_until('j', JobState.done, seconds=4)


def test_agent_that_sends_no_receipts_gets_its_starts_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = BatchFleet(workers=1)
    forget_receipts(fleet.agents[0], monkeypatch)
    fleet.run(1.5)
    fleet.submit('j', [create_step(2, millicores=500)], SimulatedWork(0.1))
    fleet.run(0.1)
    assert len(find_starts(fleet, fleet.agents[0])) == 2


@pytest.mark.parametrize('delay_seconds', [0.35, 0.5, 0.9, 1.5])
def test_jobs_are_done_though_every_receipt_comes_too_late(
    delay_seconds: float,
) -> None:
    fleet = BatchFleet(workers=2)
    fleet.run(1.5)
    for agent in fleet.agents:
        agent.notice_delay_seconds = delay_seconds
    for job_id in ('a', 'b', 'c'):
        steps = [create_step(2, millicores=500)]
        fleet.submit(job_id, steps, SimulatedWork(0.1))
        fleet.run_until(job_id, JobState.done, seconds=4)


def test_dark_agent_that_was_slow_before_is_offered_starts_again() -> None:
    fleet = BatchFleet(workers=2)
    fleet.run(1.5)
    slow = fleet.agents[0]
    slow.notice_delay_seconds = 0.5
    fleet.submit('a', [create_step(4, millicores=500)], SimulatedWork(0.1))
    fleet.run_until('a', JobState.done, seconds=4)
    slow.notice_delay_seconds = 0.001
    fleet.submit('b', [create_step(4, millicores=500)], SimulatedWork(0.1))
    fleet.run_until('b', JobState.done, seconds=4)
    lose_machine(slow)
    fleet.submit('c', [create_step(4, millicores=500)], SimulatedWork(0.1))
    fleet.run_until('c', JobState.done, seconds=2)


@pytest.mark.parametrize('seconds', [0.05, 0.15, 0.35])
def test_offers_under_way_hold_no_task_under_the_next_leader(
    seconds: float,
) -> None:
    fleet = BatchFleet(workers=3)
    fleet.run(1.5)
    lose_machine(fleet.agents[0])
    fleet.run(0.1)
    fleet.submit('j', [create_step(6, millicores=500)], SimulatedWork(60))
    fleet.run(seconds)
    fleet.change_leader(0.2)
    fleet.run(MAX_AWAY_SECONDS)
    assert len({task for _, task, *_ in fleet.run_starts}) == 6


def forget_receipts(agent: FakeAgent, monkeypatch: pytest.MonkeyPatch) -> None:
    """Have an agent report as one of an earlier version does."""
    call = agent.call

    def call_without_receipts(method: object, message: object, *rest: object):  # type: ignore[no-untyped-def]
        if hasattr(message, 'sends_receipts'):
            message.sends_receipts = False
        return call(method, message, *rest)  # type: ignore[arg-type]

    monkeypatch.setattr(agent, 'call', call_without_receipts)


def test_new_leader_offers_and_starts_what_the_one_before_had_offered() -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(1.5)
    fleet.agents[0].notice_delay_seconds = 0.1
    fleet.submit('j', [create_step(2, millicores=500)], SimulatedWork(0.1))
    fleet.run(0.05)
    fleet.change_leader(0.2)
    fleet.run_until('j', JobState.done, seconds=4)


def test_slow_commit_orders_nothing_at_a_machine_that_went_meanwhile() -> None:
    fleet = BatchFleet(workers=2)
    fleet.run(1.5)
    for agent in fleet.agents:
        agent.notice_delay_seconds = 0.05
    fleet.submit('j', [create_step(4, millicores=500)], LONG_WORK)
    fleet.replica.commit_seconds = 0.5
    fleet.run(0.2)
    lose_machine(fleet.agents[0])
    fleet.run(0.2)
    fleet.replica.commit_seconds = COMMIT_LATENCY_SECONDS
    fleet.run(2)
    assert len({task for _, task, *_ in fleet.run_starts}) == 4


def test_cancelled_job_starts_nothing_that_was_only_offered() -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(1.5)
    fleet.agents[0].notice_delay_seconds = 0.1
    fleet.submit('j', [create_step(2, millicores=500)], LONG_WORK)
    fleet.run(0.03)
    fleet.cancel('j')
    fleet.run(2)
    assert fleet.run_starts == []
    fleet.submit('k', [create_step(4, millicores=1000)], SimulatedWork(0.1))
    fleet.run_until('k', JobState.done, seconds=3)


def test_start_takes_no_longer_than_its_trips_and_a_commit() -> None:
    fleet = BatchFleet(workers=2)
    fleet.run(1.5)
    submitted_at = fleet.clock.seconds()
    fleet.submit('j', [create_step(4, millicores=500)], LONG_WORK)
    fleet.run(0.2)
    slowest = max(at for at, *_ in fleet.run_starts)
    assert slowest <= submitted_at + MAX_CALM_START_SECONDS
