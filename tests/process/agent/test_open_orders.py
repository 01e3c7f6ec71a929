"""Tests of the orders that an agent knows to be open."""

from twisted.internet.task import Clock

from wasabiturn.messages.batch import OpenOrder, StartOrder
from wasabiturn.messages.limits import ORDER_LIFETIME_SECONDS
from wasabiturn.process.agent.runs.open_orders import OrderRegistry

ORDER = StartOrder(task='j.0.0.0', run=1)


def test_order_is_open_until_it_is_answered() -> None:
    clock = Clock()
    registry = OrderRegistry(clock)
    clock.advance(2)
    sent_order = registry.record(ORDER, 'w')
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
    registry.record(ORDER, 'w')
    registry.settle(registry.record(ORDER, 'w'))
    assert len(registry.describe().orders) == 1


def test_order_is_forgotten_after_its_lifetime() -> None:
    clock = Clock()
    registry = OrderRegistry(clock)
    registry.record(ORDER, 'w')
    clock.advance(ORDER_LIFETIME_SECONDS - 1)
    assert registry.describe().orders
    clock.advance(1)
    assert not registry.describe().orders
