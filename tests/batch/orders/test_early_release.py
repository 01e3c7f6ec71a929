"""Tests of lasting tasks that start elsewhere beside open orders."""

import pytest

from tests.batch.jobs_fakes import (
    accept,
    create_batch_state,
    create_fleet,
    create_worker,
    start,
    step,
)
from tests.batch.orders.test_bindings import TASK, end_with_open_order
from wasabiturn.batch import (
    apply_batch_change,
    dump_batch_state,
    load_batch_state,
)
from wasabiturn.batch.fleet import Allocation, Fleet, Worker
from wasabiturn.batch.orders.bindings import (
    bind_ended_task,
    bind_task,
    find_held_tasks,
)
from wasabiturn.batch.orders.early_release import (
    CLOSED_PORT_SECONDS,
    is_lost_under_way,
)
from wasabiturn.batch.state.batch_state import BatchState
from wasabiturn.messages.batch import (
    BatchChange,
    BatchDump,
    OverdueStart,
)
from wasabiturn.messages.codec import pack, unpack

AGENT = 'a'
LEASE_ENDS_AT = 8.0
ORDERS_END_AT = 15.0


class BoundTask:
    """One waiting task, bound to the worker ``w`` that agent ``a`` reports."""

    def __init__(self, lasting: bool = True, name: str = 'w') -> None:
        self.batch_state: BatchState = create_batch_state(
            accept('j', step(1, lasting=lasting)),
            start(TASK),
            end_with_open_order(),
        )
        self.task = self.batch_state.tasks_by_name[TASK]
        self.task.agent = AGENT
        self.worker: Worker = create_worker(name)
        self.worker.agent = AGENT
        self.worker.lease_ends_at = LEASE_ENDS_AT
        self.fleet: Fleet = create_fleet(self.worker)
        self.fleet.record_reporting(self.worker)
        bind_task(self.fleet, self.task, ORDERS_END_AT, now=0)

    def hear(self, now: float, listed: bool = True) -> None:
        """Have the agent report; without a list the worker is silent."""
        self.worker.heard_at = now
        self.worker.report.listed = listed
        self.worker.is_reconciled = listed

    def may_start(self, now: float) -> bool:
        """Return whether the task may start elsewhere at ``now``."""
        return not find_held_tasks(self.fleet, self.batch_state, now)


@pytest.mark.parametrize('name', ['w', 'other'])
def test_lasting_task_is_not_held_by_a_life_that_lists(name: str) -> None:
    bound = BoundTask(name=name)
    bound.hear(now=1)
    assert bound.may_start(now=1)
    assert bound.fleet.bound_until_by_task


def test_other_task_is_held_by_a_life_that_lists() -> None:
    bound = BoundTask(lasting=False)
    bound.hear(now=1)
    assert not bound.may_start(now=ORDERS_END_AT - 0.1)


def test_lasting_task_is_held_by_a_closed_port_for_a_moment() -> None:
    bound = BoundTask()
    bound.worker.report.refuses = True
    bound.worker.refuses_since = 1
    bound.hear(now=1 + CLOSED_PORT_SECONDS, listed=False)
    assert not bound.may_start(now=0.9 + CLOSED_PORT_SECONDS)
    assert bound.may_start(now=1 + CLOSED_PORT_SECONDS)


def test_lasting_task_is_held_by_a_life_that_has_not_listed() -> None:
    bound = BoundTask()
    bound.hear(now=LEASE_ENDS_AT, listed=False)
    assert not bound.may_start(now=LEASE_ENDS_AT)


def test_lasting_task_is_held_by_a_life_that_lists_it() -> None:
    bound = BoundTask()
    bound.worker.unexpected_runs_by_task = {TASK: 1}
    bound.hear(now=1)
    assert not bound.may_start(now=1)


def test_new_leader_waits_for_the_leases_of_an_earlier_one() -> None:
    bound = BoundTask()
    bound.fleet.tasks_lost_under_way.add(TASK)
    bound.fleet.earlier_leases_end_at = LEASE_ENDS_AT + 2
    bound.hear(now=0)
    assert not bound.may_start(now=LEASE_ENDS_AT + 1)
    assert bound.may_start(now=LEASE_ENDS_AT + 2)


@pytest.mark.parametrize('was_under_way', [True, False])
def test_silent_agent_holds_all_but_what_was_under_way(
    was_under_way: bool,
) -> None:
    bound = BoundTask()
    bound.hear(now=0)
    if was_under_way:
        bound.fleet.tasks_lost_under_way.add(TASK)
    assert not bound.may_start(now=LEASE_ENDS_AT - 0.1)
    assert bound.may_start(now=LEASE_ENDS_AT) is was_under_way


def test_order_that_was_named_as_overdue_was_not_under_way() -> None:
    bound = BoundTask()
    allocation = Allocation(task=bound.task, run=1, started_at=0)
    bound.hear(now=0)
    assert not is_lost_under_way(bound.worker, allocation, now=7.9)
    assert is_lost_under_way(bound.worker, allocation, now=LEASE_ENDS_AT)
    bound.task.has_overdue_order = True
    assert not is_lost_under_way(bound.worker, allocation, now=LEASE_ENDS_AT)


def test_overdue_order_of_a_heard_agent_was_not_under_way() -> None:
    bound = BoundTask()
    allocation = Allocation(task=bound.task, run=1, started_at=0)
    bound.hear(now=LEASE_ENDS_AT - 1)
    assert not is_lost_under_way(bound.worker, allocation, now=LEASE_ENDS_AT)


def test_nothing_is_kept_of_a_lost_task_that_is_not_bound() -> None:
    bound = BoundTask()
    bound.fleet.unbind(TASK)
    bound.hear(now=0)
    allocation = Allocation(task=bound.task, run=1, started_at=0)
    allocation.settle_orders()
    bind_ended_task(bound.fleet, bound.worker, allocation, now=LEASE_ENDS_AT)
    assert not bound.fleet.tasks_lost_under_way


def test_snapshot_keeps_that_an_order_is_overdue() -> None:
    overdue = BatchChange(overdue=[OverdueStart(task=TASK, run=1)])
    batch_state = create_batch_state(
        accept('j', step(1, lasting=True)), start(TASK), overdue
    )
    packed = pack(dump_batch_state(batch_state))
    loaded = load_batch_state(unpack(BatchDump, packed))
    assert loaded.tasks_by_name[TASK].has_overdue_order
    apply_batch_change(loaded, end_with_open_order())
    apply_batch_change(loaded, start(TASK, run=2))
    assert not loaded.tasks_by_name[TASK].has_overdue_order
