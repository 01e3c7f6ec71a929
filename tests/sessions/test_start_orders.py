"""Test that no task runs twice, whatever becomes of its start orders."""

from tests.sessions.batch_fakes import BatchFleet, FakeAgent, create_step
from wasabiturn.messages.batch import BatchChange, DataCentreMark
from wasabiturn.messages.kinds import JobState
from wasabiturn.messages.limits import START_PERMIT_SECONDS
from wasabiturn.standins.batch_worker import Fault, SimulatedWork

TASK = 'a.0.0.0'
LONG_WORK = SimulatedWork(20)
LATE_SECONDS = 12.0


def choose_worker(fleet: BatchFleet, number: int) -> None:
    """Have tasks start only on one of the two workers."""
    marks = [
        DataCentreMark(data_centre='dc-1', out=number != 1),
        DataCentreMark(data_centre='dc-2', out=number != 2),
    ]
    fleet.mark_data_centres(BatchChange(marks=marks))


def start_with_faults(fleet: BatchFleet, *faults: Fault) -> FakeAgent:
    """Have a task sent to the first worker; later runs go to the second."""
    fleet.run(1)
    choose_worker(fleet, 1)
    agent = fleet.agents[0]
    agent.worker.next_faults = list(faults)
    agent.worker.late_delay_seconds = LATE_SECONDS
    fleet.submit('a', [create_step(1)], LONG_WORK)
    while not fleet.start_orders:
        fleet.run(0.01)
    choose_worker(fleet, 2)
    return agent


def start_while_holds_fail(fleet: BatchFleet) -> FakeAgent:
    """Have a task sent to the first worker, which lists no runs."""
    fleet.run(1)
    choose_worker(fleet, 1)
    agent = fleet.agents[0]
    agent.worker.refuses_holds = True
    fleet.run(1.1)
    fleet.submit('a', [create_step(1)], LONG_WORK)
    fleet.run(0.3)
    return agent


def restart_unseen(fleet: BatchFleet, agent: FakeAgent, until: float) -> None:
    """Start the worker again, and let nothing keep late orders away.

    Until ``until`` its new life refuses holds and stops.
    """
    agent.refuse_control()
    agent.worker.start_incarnation()
    fleet.run(until - fleet.clock.seconds())
    agent.accept_control()


def find_starts(fleet: BatchFleet) -> list[tuple[int, str]]:
    """Return the run number and the worker of each start of the task."""
    return [(run, name) for _, task, run, name in fleet.run_starts]


def test_restarted_agent_does_not_settle_an_order_of_its_predecessor() -> None:
    fleet = BatchFleet(workers=2)
    agent = start_with_faults(fleet, Fault.late, Fault.refused)
    agent.restart()
    fleet.run(LATE_SECONDS + 5)
    assert len(find_starts(fleet)) == 1


def test_drain_does_not_settle_an_unanswered_order() -> None:
    fleet = BatchFleet(workers=2)
    agent = start_with_faults(fleet, Fault.late)
    fleet.run(0.7)
    agent.announce_draining()
    fleet.run(LATE_SECONDS + 5)
    assert len(find_starts(fleet)) == 1


def test_run_given_up_after_its_lease_does_not_start_later() -> None:
    fleet = BatchFleet(workers=2)
    dropped = [Fault.dropped] * 9
    agent = start_with_faults(fleet, Fault.late, *dropped)
    agent.worker.refuses_holds = True
    fleet.run(8)
    agent.worker.next_faults.clear()
    agent.worker.refuses_holds = False
    fleet.run(LATE_SECONDS)
    assert len(fleet.find_workers_by_task()[TASK]) == 1


def test_run_given_up_by_a_crash_does_not_start_in_the_next_life() -> None:
    fleet = BatchFleet(workers=2)
    agent = start_with_faults(fleet, Fault.late)
    agent.worker.keeps_late_orders = True
    agent.worker.crash()
    fleet.run(2)
    agent.worker.start_incarnation()
    fleet.run(LATE_SECONDS + 5)
    assert len(fleet.find_workers_by_task()[TASK]) == 1


def test_answered_start_is_not_sent_again_while_holds_fail() -> None:
    fleet = BatchFleet(workers=2)
    start_while_holds_fail(fleet)
    fleet.submit('b', [create_step(1)], LONG_WORK)
    fleet.run(0.3)
    sent = [order.task for order in fleet.start_orders]
    assert sent.count(TASK) == 1


def test_refusal_of_a_repeated_order_does_not_end_a_run() -> None:
    fleet = BatchFleet(workers=2)
    agent = start_while_holds_fail(fleet)
    # Orders from before the next list arrive after it.
    agent.notice_delay_seconds = 2
    fleet.submit('b', [create_step(1)], LONG_WORK)
    choose_worker(fleet, 2)
    agent.worker.refuses_holds = False
    fleet.run(1.5)
    agent.worker.next_faults = [Fault.refused] * 2
    fleet.run(5)
    starts = [task for _, task, _, _ in fleet.run_starts]
    assert starts.count(TASK) == 1


def test_no_order_is_sent_after_the_permission_to_start() -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(1)
    agent = fleet.agents[0]
    agent.worker.order_delay_seconds = 0.5
    fleet.submit('a', [create_step(20, millicores=200)], LONG_WORK)
    fleet.run(0.1)
    agent.is_partitioned = True
    ends_at = fleet.clock.seconds() + START_PERMIT_SECONDS
    fleet.run(6)
    late = [order for order in fleet.start_orders if order.at > ends_at]
    assert not late


def test_no_order_is_sent_after_the_worker_began_to_drain() -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(1)
    agent = fleet.agents[0]
    agent.worker.order_delay_seconds = 0.5
    fleet.submit('a', [create_step(20, millicores=200)], LONG_WORK)
    fleet.run(0.1)
    agent.announce_draining()
    drains_at = fleet.clock.seconds()
    fleet.run(6)
    late = [order for order in fleet.start_orders if order.at > drains_at]
    assert not late


def test_outdated_orders_do_not_send_a_settled_start_again() -> None:
    fleet = BatchFleet(workers=2)
    fleet.run(1)
    choose_worker(fleet, 1)
    (agent, _) = fleet.agents
    agent.notice_delay_seconds = 3
    agent.worker.next_faults = [Fault.refused]
    fleet.submit('a', [create_step(1)], LONG_WORK)
    choose_worker(fleet, 2)
    fleet.run(6)
    assert len(find_starts(fleet)) == 1


def test_retry_of_an_order_is_not_sent_to_the_next_life() -> None:
    fleet = BatchFleet(workers=2)
    agent = start_with_faults(fleet, Fault.dropped)
    fleet.run(0.3)
    born_ms = agent.worker.identity.born_ms
    agent.worker.start_incarnation()
    agent.announce()
    reborn_at = fleet.clock.seconds()
    fleet.run(3)
    late = [
        order
        for order in fleet.start_orders
        if order.born_ms == born_ms and order.at > reborn_at
    ]
    assert not late


def test_start_that_the_next_life_answered_is_not_given_up_with_the_last() -> (
    None
):
    fleet = BatchFleet(workers=2)
    fleet.run(1)
    choose_worker(fleet, 1)
    worker = fleet.agents[0].worker
    worker.start_incarnation()
    # The refusal has the answered start reported before the announcement.
    worker.next_faults = [Fault.none, Fault.refused]
    fleet.submit('a', [create_step(1)], LONG_WORK)
    fleet.submit('b', [create_step(1)], LONG_WORK)
    fleet.run(0.1)
    choose_worker(fleet, 2)
    fleet.run(10)
    assert len(fleet.find_workers_by_task()[TASK]) == 1


def test_start_that_a_list_settled_is_not_sent_when_its_turn_comes() -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(1.75)
    (agent,) = fleet.agents
    agent.worker.next_faults = [Fault.answer_lost]
    fleet.submit('a', [create_step(1)], LONG_WORK)
    fleet.run(0.4)
    # The retry waits behind these until a list has its run.
    agent.worker.order_delay_seconds = 1.2
    fleet.submit('b', [create_step(3, millicores=200)], LONG_WORK)
    fleet.run(0.4)
    agent.is_partitioned = True
    fleet.run(2)
    sent = [order.task for order in fleet.start_orders]
    assert sent.count(TASK) == 1


def test_no_order_is_sent_to_a_data_centre_long_after_it_was_taken_out() -> (
    None
):
    fleet = BatchFleet(workers=2)
    fleet.run(1)
    choose_worker(fleet, 1)
    agent = fleet.agents[0]
    agent.worker.order_delay_seconds = 0.5
    fleet.submit('a', [create_step(30, millicores=100)], SimulatedWork(1))
    fleet.run(0.1)
    choose_worker(fleet, 2)
    out_at = fleet.clock.seconds()
    fleet.run_until('a', JobState.done, seconds=20)
    late = [
        order
        for order in fleet.start_orders
        if order.worker == 'worker-1' and order.at > out_at + 3
    ]
    assert not late
