"""Test where and when a task starts while an order for it is open."""

import pytest

from tests.sessions.batch_fakes import (
    BatchFleet,
    FakeAgent,
    create_step,
)
from tests.sessions.test_start_orders import (
    LATE_SECONDS,
    LONG_WORK,
    TASK,
    choose_worker,
    find_starts,
    restart_unseen,
    start_with_faults,
)
from wasabiturn.batch.orders.bindings import LIST_AGE_SECONDS
from wasabiturn.messages.batch import BatchChange, DataCentreMark
from wasabiturn.messages.kinds import JobState, RunEnding
from wasabiturn.messages.limits import (
    ORDER_LIFETIME_SECONDS,
    START_PERMIT_SECONDS,
)
from wasabiturn.standins.batch_worker import Fault, SimulatedWork

# A hold, a report, a commit and an order, each of them once again.
REACTION_SECONDS = 3.0
# A lease of 6 s, 3 % and 0.2 s more.
LEASE_SECONDS = 6.38
# Attempts of each task in the routing of the fleet.
ATTEMPTS = 2


def restart_elsewhere(agent: FakeAgent) -> None:
    """Have the worker begin a new life under another name."""
    agent.worker.start_incarnation('other')
    agent.announce()


def open_both_data_centres(fleet: BatchFleet) -> None:
    marks = [
        DataCentreMark(data_centre=name, out=False) for name in ('dc-1', 'dc-2')
    ]
    fleet.mark_data_centres(BatchChange(marks=marks))


def list_begin_times(fleet: BatchFleet) -> list[float]:
    return [at for at, _, _, _ in fleet.run_starts]


def bind_revoked_start(fleet: BatchFleet) -> FakeAgent:
    """Have a start revoked, an order for which is not answered."""
    agent = start_with_faults(fleet, Fault.late, Fault.refused)
    agent.worker.keeps_late_orders = True
    fleet.run(2)
    return agent


def start_run_elsewhere(
    fleet: BatchFleet, since: float, more_seconds: float = 0
) -> None:
    """Check that the task begins on the second worker, a lifetime later."""
    earliest = since + ORDER_LIFETIME_SECONDS + more_seconds
    fleet.run(earliest - 0.1 - fleet.clock.seconds())
    assert not find_starts(fleet)
    fleet.run(REACTION_SECONDS)
    assert [worker for _, worker in find_starts(fleet)] == ['worker-2']


@pytest.mark.parametrize(
    ('is_silent', 'more_seconds'), [(False, 0), (True, LEASE_SECONDS)]
)
def test_revoked_start_waits_for_the_order_of_a_name_that_is_gone(
    is_silent: bool, more_seconds: float
) -> None:
    fleet = BatchFleet(workers=2)
    agent = bind_revoked_start(fleet)
    agent.worker.crash()
    agent.is_partitioned = is_silent
    start_run_elsewhere(fleet, fleet.start_orders[0].at, more_seconds)


def test_run_that_a_late_order_began_unseen_is_waited_for() -> None:
    fleet = BatchFleet(workers=2)
    agent = bind_revoked_start(fleet)
    choose_worker(fleet, 1)
    fleet.run(1)
    assert find_starts(fleet) == [(2, 'worker-1')]
    choose_worker(fleet, 2)
    late_at = fleet.start_orders[0].at + LATE_SECONDS
    fleet.run(late_at - 1.0 - fleet.clock.seconds())
    agent.worker.refuses_holds = True
    agent.worker.start_incarnation()
    fleet.run(LATE_SECONDS + LEASE_SECONDS)
    assert (1, 'worker-1') in find_starts(fleet)
    assert fleet.find_workers_by_task()[TASK] == ['worker-2']


def test_order_that_a_silent_agent_sent_last_is_waited_for() -> None:
    fleet = BatchFleet(workers=2)
    agent = start_with_faults(fleet, Fault.dropped, Fault.dropped, Fault.late)
    agent.worker.keeps_late_orders = True
    agent.worker.late_delay_seconds = ORDER_LIFETIME_SECONDS - 0.5
    agent.is_partitioned = True
    fleet.run(2)
    agent.worker.crash()
    late_at = fleet.start_orders[2].at + ORDER_LIFETIME_SECONDS - 0.5
    fleet.run(late_at - 0.1 - fleet.clock.seconds())
    restart_unseen(fleet, agent, until=late_at + 0.1)
    fleet.run(LEASE_SECONDS - 0.2)
    assert find_starts(fleet) == [(1, 'worker-1')]
    fleet.run(REACTION_SECONDS)
    assert fleet.find_workers_by_task()[TASK] == ['worker-2']


def test_order_to_a_replaced_name_is_waited_for() -> None:
    fleet = BatchFleet(workers=2)
    agent = start_with_faults(fleet, Fault.late)
    fleet.run(0.3)
    restart_elsewhere(agent)
    start_run_elsewhere(fleet, fleet.start_orders[-1].at)


def test_machine_that_returns_prolongs_no_wait_for_its_orders() -> None:
    """A new process of its agent can't tell what the one before had sent."""
    fleet = BatchFleet(workers=2)
    agent = start_with_faults(fleet, Fault.late)
    ordered_at = fleet.start_orders[0].at
    fleet.run(0.1)
    agent.is_partitioned = True
    agent.worker.crash()
    # Its lease has not ended yet.
    fleet.run(LEASE_SECONDS - 0.9)
    agent.restart()
    agent.is_partitioned = False
    restart_elsewhere(agent)
    latest = ordered_at + START_PERMIT_SECONDS + ORDER_LIFETIME_SECONDS
    fleet.run(latest + REACTION_SECONDS - fleet.clock.seconds())
    assert [worker for _, worker in find_starts(fleet)][-1:] == ['worker-2']


def test_new_leader_waits_for_the_order_of_a_bound_task() -> None:
    fleet = BatchFleet(workers=2)
    bind_revoked_start(fleet)
    fleet.change_leader(1)
    # What is left by the clock of the state, which the new leader reads now.
    batch_state = fleet.replica.state.batch
    until_ms = batch_state.tasks_by_name[TASK].bound_until_ms
    left_seconds = (until_ms - batch_state.clock_ms) / 1000
    now = fleet.clock.seconds()
    start_run_elsewhere(
        fleet, now, left_seconds - ORDER_LIFETIME_SECONDS + LIST_AGE_SECONDS
    )


def test_new_leader_does_not_count_the_lifetime_of_an_order_anew() -> None:
    fleet = BatchFleet(workers=2)
    agent = start_with_faults(fleet, Fault.late)
    fleet.run(LATE_SECONDS)
    assert find_starts(fleet) == [(1, 'worker-1')]
    # The newest change tells the time, as there are no other instances here.
    fleet.submit('b', [create_step(1)])
    agent.is_partitioned = True
    agent.worker.crash()
    fleet.change_leader(1)
    # What is left of the lifetime, and a lease of the new leader.
    fleet.run(ORDER_LIFETIME_SECONDS - LATE_SECONDS + LEASE_SECONDS)
    fleet.run(REACTION_SECONDS)
    assert fleet.find_workers_by_task()[TASK] == ['worker-2']


def test_new_leader_keeps_a_bound_task_from_a_second_run() -> None:
    fleet = BatchFleet(workers=2)
    agent = bind_revoked_start(fleet)
    fleet.change_leader(1)
    late_at = fleet.start_orders[0].at + LATE_SECONDS
    fleet.run(late_at - 0.1 - fleet.clock.seconds())
    restart_unseen(fleet, agent, until=late_at + 0.1)
    fleet.run(LATE_SECONDS)
    assert find_starts(fleet) == [(1, 'worker-1')]


@pytest.mark.parametrize('same_name', [True, False])
def test_order_to_a_silent_worker_is_waited_for_by_a_new_leader(
    same_name: bool,
) -> None:
    fleet = BatchFleet(workers=2)
    agent = start_with_faults(fleet, Fault.late)
    agent.worker.keeps_late_orders = True
    late_at = fleet.start_orders[0].at + LATE_SECONDS
    agent.is_partitioned = True
    agent.worker.crash()
    fleet.change_leader(1)
    fleet.run(late_at - 0.1 - fleet.clock.seconds())
    assert not find_starts(fleet)
    agent.worker.start_incarnation('' if same_name else 'other')
    agent.restart()
    agent.is_partitioned = False
    fleet.run(LATE_SECONDS)
    assert len(fleet.find_workers_by_task()[TASK]) == 1


def test_order_of_an_earlier_agent_process_is_waited_for() -> None:
    fleet = BatchFleet(workers=2)
    agent = start_with_faults(fleet, Fault.late)
    agent.worker.keeps_late_orders = True
    agent.restart()
    restarted_at = fleet.clock.seconds()
    agent.announce()
    fleet.run(1)
    restart_elsewhere(agent)
    start_run_elsewhere(fleet, restarted_at)


def test_bound_task_starts_at_once_at_its_name() -> None:
    fleet = BatchFleet(workers=2)
    agent = bind_revoked_start(fleet)
    agent.worker.start_incarnation()
    agent.announce()
    fleet.run(0.1)
    choose_worker(fleet, 1)
    fleet.run(REACTION_SECONDS)
    assert find_starts(fleet) == [(2, 'worker-1')]
    fleet.run(LATE_SECONDS + REACTION_SECONDS)
    assert find_starts(fleet) == [(2, 'worker-1')]


def test_second_restart_at_a_name_waits_for_the_first_order() -> None:
    fleet = BatchFleet(workers=2)
    agent = bind_revoked_start(fleet)
    late_at = fleet.start_orders[0].at + LATE_SECONDS
    choose_worker(fleet, 1)
    fleet.run(1)
    assert find_starts(fleet) == [(2, 'worker-1')]
    choose_worker(fleet, 2)
    fleet.run(late_at - 0.5 - fleet.clock.seconds())
    agent.worker.start_incarnation()
    fleet.run(LATE_SECONDS)
    names = {worker for _, worker in find_starts(fleet)}
    assert names == {'worker-1', 'worker-2'}
    assert fleet.find_workers_by_task()[TASK] == ['worker-2']


def test_task_that_failed_does_not_return_to_the_name_it_is_bound_to() -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(1)
    (agent,) = fleet.agents
    agent.worker.next_faults = [Fault.late]
    agent.worker.late_delay_seconds = LATE_SECONDS
    work = SimulatedWork(0.1, ending=RunEnding.failed)
    fleet.submit('a', [create_step(1)], work)
    fleet.run(2)
    (first,) = list_begin_times(fleet)
    sent_at = fleet.start_orders[0].at
    fleet.run(ORDER_LIFETIME_SECONDS + REACTION_SECONDS)
    _, second = list_begin_times(fleet)
    assert first < sent_at + 2
    assert second > sent_at + ORDER_LIFETIME_SECONDS


def test_bound_task_does_not_hold_up_other_tasks() -> None:
    fleet = BatchFleet(workers=2)
    bind_revoked_start(fleet)
    fleet.submit('b', [create_step(3, millicores=3000)], SimulatedWork(0.5))
    fleet.run_until('b', JobState.done, seconds=REACTION_SECONDS)
    assert not [task for _, task, _, _ in fleet.run_starts if task == TASK]


def test_bound_task_does_not_hold_up_its_own_step() -> None:
    fleet = BatchFleet(workers=2)
    fleet.run(1)
    choose_worker(fleet, 1)
    agent = fleet.agents[0]
    agent.worker.next_faults = [Fault.late, *[Fault.refused] * 3]
    agent.worker.late_delay_seconds = LATE_SECONDS
    fleet.submit('a', [create_step(3)], LONG_WORK)
    choose_worker(fleet, 2)
    fleet.run(REACTION_SECONDS)
    begun = {task for _, task, _, _ in fleet.run_starts}
    assert len(begun) == 2


def test_start_that_was_never_sent_is_not_bound() -> None:
    fleet = BatchFleet(workers=2)
    fleet.run(1)
    choose_worker(fleet, 1)
    agent = fleet.agents[0]
    agent.is_partitioned = True
    fleet.submit('a', [create_step(1)], LONG_WORK)
    choose_worker(fleet, 2)
    agent.worker.start_incarnation('other')
    agent.is_partitioned = False
    agent.announce()
    fleet.run(REACTION_SECONDS)
    assert not fleet.start_orders or fleet.start_orders[0].worker != 'worker-1'
    assert [worker for _, worker in find_starts(fleet)] == ['worker-2']


@pytest.mark.parametrize('restarts_agent', [True, False])
@pytest.mark.parametrize('changes_leader', [True, False])
def test_run_whose_orders_were_answered_is_not_bound(
    restarts_agent: bool, changes_leader: bool
) -> None:
    fleet = BatchFleet(workers=2)
    agent = start_with_faults(fleet)
    fleet.run(1)
    if changes_leader:
        fleet.change_leader(0.5)
    if restarts_agent:
        agent.restart()
    restart_elsewhere(agent)
    fleet.run(REACTION_SECONDS)
    names = [worker for _, worker in find_starts(fleet)]
    assert names == ['worker-1', 'worker-2']


def test_gang_with_a_bound_member_waits_and_then_starts_whole() -> None:
    fleet = BatchFleet(workers=2)
    fleet.run(1)
    choose_worker(fleet, 1)
    agent = fleet.agents[0]
    agent.worker.next_faults = [Fault.late, Fault.refused]
    agent.worker.late_delay_seconds = LATE_SECONDS
    fleet.submit('a', [create_step(2, gang=True)], LONG_WORK)
    fleet.run(0.1)
    sent_at = fleet.start_orders[0].at
    choose_worker(fleet, 2)
    fleet.run(1)
    agent.worker.start_incarnation('other')
    agent.announce()
    fleet.run(sent_at + ORDER_LIFETIME_SECONDS - 0.1 - fleet.clock.seconds())
    assert 'worker-2' not in {worker for _, worker in find_starts(fleet)}
    fleet.run(REACTION_SECONDS)
    last = [worker for _, worker in find_starts(fleet)][-2:]
    assert last == ['worker-2', 'worker-2']


def test_late_order_of_the_stand_in_reaches_its_name_only() -> None:
    fleet = BatchFleet(workers=2)
    agent = start_with_faults(fleet, Fault.late)
    worker = agent.worker
    worker.keeps_late_orders = True
    sent_at = fleet.start_orders[0].at
    fleet.run(0.1)
    worker.start_incarnation('other')
    worker.next_faults.clear()
    fleet.run(sent_at + LATE_SECONDS - 1 - fleet.clock.seconds())
    worker.start_incarnation('worker-1')
    agent.is_partitioned = True
    fleet.run(1.5)
    assert (1, 'worker-1') in find_starts(fleet)
    assert 'other' not in {name for _, name in find_starts(fleet)}


def test_done_task_does_not_begin_again_in_the_next_life() -> None:
    fleet = BatchFleet(workers=2)
    fleet.run(1)
    choose_worker(fleet, 1)
    agent = fleet.agents[0]
    agent.worker.keeps_late_orders = True
    agent.worker.next_faults = [Fault.late]
    agent.worker.late_delay_seconds = LATE_SECONDS
    fleet.submit('a', [create_step(1)], SimulatedWork(1))
    fleet.run_until('a', JobState.done, seconds=5)
    late_at = fleet.start_orders[0].at + LATE_SECONDS
    fleet.run(late_at - 0.1 - fleet.clock.seconds())
    agent.worker.start_incarnation()
    fleet.run(1)
    assert len(find_starts(fleet)) == 1


def test_failed_run_that_a_late_order_began_counts_as_an_attempt() -> None:
    fleet = BatchFleet(workers=2)
    agent = bind_revoked_start(fleet)
    fleet.work_by_job['a'] = SimulatedWork(0.1, ending=RunEnding.failed)
    late_at = fleet.start_orders[0].at + LATE_SECONDS
    fleet.run(late_at - 0.1 - fleet.clock.seconds())
    restart_unseen(fleet, agent, until=late_at + 0.2)
    assert find_starts(fleet) == [(1, 'worker-1')]
    agent.announce()
    fleet.run(0.3)
    open_both_data_centres(fleet)
    fleet.run_until('a', JobState.failed, seconds=40)
    assert len(find_starts(fleet)) == ATTEMPTS


@pytest.mark.parametrize('changes_leader', [True, False])
def test_run_that_a_late_order_began_before_the_first_list_is_waited_for(
    changes_leader: bool,
) -> None:
    fleet = BatchFleet(workers=2)
    # The lease in the order is on the clock of the first life.
    fleet.run(LATE_SECONDS)
    agent = start_with_faults(fleet, Fault.late)
    agent.worker.keeps_late_orders = True
    agent.refuse_control()
    agent.worker.start_incarnation()
    agent.announce()
    fleet.run(LATE_SECONDS + 0.5)
    assert find_starts(fleet) == [(1, 'worker-1')]
    if changes_leader:
        fleet.run(ORDER_LIFETIME_SECONDS - LATE_SECONDS)
        fleet.change_leader(0.2)
        # A new leader knows no earlier time of the order than its own start.
        fleet.run(REACTION_SECONDS)
    fleet.run(ORDER_LIFETIME_SECONDS + LEASE_SECONDS)
    assert fleet.find_workers_by_task()[TASK] == ['worker-2']
