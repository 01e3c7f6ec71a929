"""Tests of the orders that an agent knows to be open."""

import attrs
from twisted.internet.task import Clock

from wasabiturn.messages.batch import OpenOrder, RunningRow, StartOrder
from wasabiturn.messages.limits import (
    LATE_RUN_SECONDS,
    ORDER_LIFETIME_SECONDS,
)
from wasabiturn.process.agent.runs.open_orders import OrderRegistry
from wasabiturn.process.agent.runs.port import RunListing, WorkerIdentity

ORDER = StartOrder(task='j.0.0.0', run=1)
IDENTITY = WorkerIdentity(
    worker='w',
    born_ms=1,
    service_name='service',
    data_centre='dc',
    rack='r',
    labels=(),
    millicores=1,
    memory_mb=1,
    accelerators=0,
)
LISTING = RunListing(
    born_ms=1,
    clock_ms=1,
    running=[RunningRow(task='j.0.0.0', run=1)],
    ended=[],
)


def test_order_is_open_until_it_is_answered() -> None:
    clock = Clock()
    registry = OrderRegistry(clock)
    clock.advance(2)
    sent_order = registry.record(ORDER, IDENTITY)
    clock.advance(1.5)
    described = registry.describe()
    assert described.known_ms == 3500
    assert described.orders == [
        OpenOrder(task='j.0.0.0', run=1, worker='w', age_ms=1500)
    ]
    registry.settle(sent_order)
    assert not registry.describe().orders


def test_answer_to_one_order_leaves_another_for_its_run_open() -> None:
    registry = OrderRegistry(Clock())
    registry.record(ORDER, IDENTITY)
    registry.settle(registry.record(ORDER, IDENTITY))
    assert len(registry.describe().orders) == 1


def test_order_is_named_while_a_run_that_it_began_may_go_on() -> None:
    clock = Clock()
    registry = OrderRegistry(clock)
    registry.record(ORDER, IDENTITY)
    clock.advance(ORDER_LIFETIME_SECONDS + LATE_RUN_SECONDS - 1)
    assert registry.describe().orders
    clock.advance(1)
    assert not registry.describe().orders


def test_listed_run_has_used_up_its_only_order() -> None:
    registry = OrderRegistry(Clock())
    registry.record(ORDER, IDENTITY)
    registry.settle_listed(LISTING)
    assert not registry.describe().orders


def test_listed_run_has_used_up_one_of_two_orders() -> None:
    clock = Clock()
    registry = OrderRegistry(clock)
    registry.record(ORDER, IDENTITY)
    clock.advance(1)
    registry.record(ORDER, IDENTITY)
    for _ in range(2):
        registry.settle_listed(LISTING)
        (left,) = registry.describe().orders
        assert left.age_ms == 0


def test_run_that_an_answered_order_has_begun_uses_up_no_other() -> None:
    registry = OrderRegistry(Clock())
    registry.record(ORDER, IDENTITY)
    registry.settle_started(registry.record(ORDER, IDENTITY))
    registry.settle_listed(LISTING)
    assert len(registry.describe().orders) == 1


def test_run_after_a_refused_order_uses_up_the_one_without_an_answer() -> None:
    registry = OrderRegistry(Clock())
    registry.record(ORDER, IDENTITY)
    registry.settle(registry.record(ORDER, IDENTITY))
    registry.settle_listed(LISTING)
    assert not registry.describe().orders


def test_order_whose_run_a_later_incarnation_lists_stays_open_as_answered() -> (
    None
):
    registry = OrderRegistry(Clock())
    registry.record(ORDER, IDENTITY)
    registry.settle_listed(attrs.evolve(LISTING, born_ms=2))
    (order,) = registry.describe().orders
    assert order.is_answered


def test_repeated_orders_do_not_lengthen_the_reports() -> None:
    clock = Clock()
    registry = OrderRegistry(clock)
    for _ in range(10):
        registry.record(ORDER, IDENTITY)
        clock.advance(0.25)
    registry.record(ORDER, IDENTITY).is_answered = True
    registry.record(ORDER, attrs.evolve(IDENTITY, worker='v'))
    described = registry.describe().orders
    assert [(each.worker, each.age_ms) for each in described] == [
        ('w', 250),
        ('w', 0),
        ('v', 0),
    ]


def test_list_settles_no_order_while_another_may_be_answered() -> None:
    registry = OrderRegistry(Clock())
    registry.stop_awaiting(registry.record(ORDER, IDENTITY))
    answered = registry.record(ORDER, IDENTITY)
    registry.settle_listed(LISTING)
    registry.settle_started(answered)
    assert len(registry.describe().orders) == 1
    registry.settle_listed(LISTING)
    assert len(registry.describe().orders) == 1


def test_repeat_of_a_listed_run_is_not_what_began_it() -> None:
    clock = Clock()
    registry = OrderRegistry(clock)
    registry.record(ORDER, IDENTITY)
    registry.settle_listed(LISTING)
    clock.advance(0.5)
    registry.stop_awaiting(registry.record(ORDER, IDENTITY))
    registry.settle_listed(LISTING)
    assert len(registry.describe().orders) == 1
