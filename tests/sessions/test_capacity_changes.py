"""Test that starts follow the capacity of a worker that shrinks and grows."""

from tests.sessions.batch_fakes import (
    ANNOUNCE_INTERVAL_SECONDS,
    LATENCY_SECONDS,
    BatchFleet,
    FakeAgent,
    create_step,
)
from wasabiturn.messages.kinds import JobState, RunEnding
from wasabiturn.standins.batch_worker import Fault, SimulatedWork

LONG_WORK = SimulatedWork(20)
# From an announcement to the next start: a report, a plan and a commit.
REACTION_SECONDS = 0.2


def begin_with_one_worker() -> tuple[BatchFleet, FakeAgent]:
    fleet = BatchFleet(workers=1)
    fleet.run(1.75)
    return fleet, fleet.agents[0]


def count_running(agent: FakeAgent, job: str) -> int:
    return sum(task.startswith(f'{job}.') for task in agent.worker.runs_by_task)


def test_work_that_waited_starts_as_soon_as_the_worker_has_grown() -> None:
    fleet, agent = begin_with_one_worker()
    agent.worker.change_capacity(millicores=1000)
    fleet.run(2 * ANNOUNCE_INTERVAL_SECONDS)
    fleet.submit('a', [create_step(4)], LONG_WORK)
    fleet.run(3)
    assert count_running(agent, 'a') == 1
    agent.worker.change_capacity(millicores=4000)
    agent.announce()
    fleet.run(REACTION_SECONDS)
    assert count_running(agent, 'a') == 4


def test_start_that_waits_behind_slow_orders_follows_the_capacity() -> None:
    fleet, agent = begin_with_one_worker()
    agent.worker.order_delay_seconds = 1.0
    fleet.submit('a', [create_step(30, millicores=100)], LONG_WORK)
    fleet.run(0.1)
    agent.worker.change_capacity(millicores=500)
    fleet.run(15)
    assert 0 < count_running(agent, 'a') <= 15


def test_order_without_an_answer_does_not_start_on_a_shrunk_worker() -> None:
    fleet, agent = begin_with_one_worker()
    agent.worker.late_delay_seconds = 7.0
    agent.worker.next_faults = [Fault.late, *[Fault.dropped] * 3]
    fleet.submit('a', [create_step(1, millicores=3000)], LONG_WORK)
    fleet.run(0.3)
    agent.worker.change_capacity(millicores=2000)
    fleet.run(12)
    assert count_running(agent, 'a') == 0


def test_withdrawn_start_is_no_failed_attempt_and_gets_done() -> None:
    fleet, agent = begin_with_one_worker()
    for _ in range(4):
        agent.worker.order_delay_seconds = 1.0
        fleet.submit('a', [create_step(20, millicores=200)], SimulatedWork(1))
        fleet.run(0.1)
        agent.worker.change_capacity(millicores=400)
        fleet.run(2 * ANNOUNCE_INTERVAL_SECONDS)
        agent.worker.change_capacity(millicores=4000)
        fleet.run(2 * ANNOUNCE_INTERVAL_SECONDS)
    agent.worker.order_delay_seconds = LATENCY_SECONDS
    fleet.run_until('a', JobState.done, seconds=10)


def test_runs_go_on_when_their_worker_shrinks_below_them() -> None:
    fleet, agent = begin_with_one_worker()
    fleet.submit('a', [create_step(4, lasting=True)], SimulatedWork(1000))
    fleet.run(1)
    agent.worker.change_capacity(millicores=500, memory_mb=50)
    fleet.run(20)
    assert count_running(agent, 'a') == 4
    assert not fleet.run_ends


def test_job_larger_than_the_shrunk_worker_does_not_block_others() -> None:
    fleet, agent = begin_with_one_worker()
    agent.worker.change_capacity(millicores=1000, memory_mb=300)
    fleet.run(2 * ANNOUNCE_INTERVAL_SECONDS)
    fleet.submit('large', [create_step(1, millicores=2000)])
    fleet.submit('wide', [create_step(1, millicores=100, memory_mb=400)])
    fleet.submit('small', [create_step(3, millicores=300)])
    fleet.run_until('small', JobState.done, seconds=3)


def test_lasting_task_returns_when_the_worker_has_grown_again() -> None:
    fleet, agent = begin_with_one_worker()
    fleet.submit(
        'a',
        [create_step(2, lasting=True)],
        SimulatedWork(3, RunEnding.failed),
    )
    fleet.run(1)
    agent.worker.change_capacity(millicores=1000)
    fleet.run(5)
    assert count_running(agent, 'a') == 1
    agent.worker.change_capacity(millicores=4000)
    fleet.run(ANNOUNCE_INTERVAL_SECONDS + REACTION_SECONDS)
    assert count_running(agent, 'a') == 2


def test_agent_cut_from_the_leader_sends_no_start_to_a_shrunk_worker() -> None:
    fleet, agent = begin_with_one_worker()
    agent.worker.order_delay_seconds = 0.5
    fleet.submit('a', [create_step(30, millicores=100)], LONG_WORK)
    fleet.run(0.1)
    agent.is_partitioned = True
    agent.worker.change_capacity(millicores=500)
    agent.announce()
    shrunk_at = fleet.clock.seconds()
    fleet.run(4)
    assert not [each for each in fleet.start_orders if each.at > shrunk_at]


def test_starts_go_on_after_a_shrink_that_leaves_room_for_them() -> None:
    fleet, agent = begin_with_one_worker()
    agent.worker.order_delay_seconds = 0.5
    fleet.submit('a', [create_step(9, millicores=100)], LONG_WORK)
    fleet.run(0.1)
    agent.worker.change_capacity(millicores=3000)
    agent.announce()
    fleet.run(2)
    assert count_running(agent, 'a') == 9
    assert {run for _, _, run, _ in fleet.run_starts} == {1}


def test_agent_cut_from_the_leader_revokes_late_orders_of_a_shrunk_worker() -> (
    None
):
    fleet, agent = begin_with_one_worker()
    agent.worker.late_delay_seconds = 4.8
    agent.worker.next_faults = [Fault.late, Fault.dropped]
    fleet.submit('a', [create_step(1, millicores=3000)], LONG_WORK)
    fleet.run(0.1)
    agent.is_partitioned = True
    agent.worker.change_capacity(millicores=2000)
    fleet.run(5)
    assert not fleet.run_starts


def test_agent_goes_on_after_an_announcement_that_cannot_be_reported() -> None:
    fleet, agent = begin_with_one_worker()
    capacity = agent.worker.identity.millicores
    agent.worker.change_capacity(millicores=2**40)
    agent.announce()
    agent.worker.change_capacity(millicores=capacity)
    fleet.run(2 * ANNOUNCE_INTERVAL_SECONDS)
    fleet.submit('a', [create_step(1)])
    fleet.run_until('a', JobState.done, seconds=3)


def test_gang_with_a_withdrawn_member_starts_again_as_a_whole() -> None:
    fleet = BatchFleet(workers=2)
    fleet.run(1.75)
    worker = fleet.agents[0].worker
    worker.next_faults = [Fault.dropped] * 4
    gang = create_step(2, gang=True, millicores=3000)
    fleet.submit('a', [gang], LONG_WORK)
    fleet.run(0.3)
    worker.change_capacity(millicores=2000)
    fleet.run(2 * ANNOUNCE_INTERVAL_SECONDS)
    assert not fleet.find_workers_by_task()
    worker.change_capacity(millicores=4000)
    fleet.run(2 * ANNOUNCE_INTERVAL_SECONDS)
    assert len(fleet.find_workers_by_task()) == 2
    assert {run for _, _, run, _ in fleet.run_starts[-2:]} == {2}


def test_agent_cut_from_the_leader_repeats_a_stop_that_failed() -> None:
    fleet, agent = begin_with_one_worker()
    agent.worker.late_delay_seconds = 4.8
    agent.worker.next_faults = [Fault.late, Fault.dropped]
    fleet.submit('a', [create_step(1, millicores=3000)], LONG_WORK)
    fleet.run(0.1)
    agent.worker.next_faults += [Fault.refused]
    agent.worker.change_capacity(millicores=2000)
    agent.announce()
    fleet.run(0.05)
    agent.is_partitioned = True
    fleet.run(6)
    assert not fleet.run_starts


def test_withdrawn_starts_that_were_not_sent_need_no_slow_stops() -> None:
    fleet, agent = begin_with_one_worker()
    agent.worker.order_delay_seconds = 1.0
    fleet.submit('a', [create_step(30, millicores=100)], LONG_WORK)
    fleet.run(0.1)
    agent.worker.change_capacity(millicores=2900)
    agent.announce()
    # Three orders at a time; those that were out are stopped and sent again.
    fleet.run(14)
    assert count_running(agent, 'a') == 29
