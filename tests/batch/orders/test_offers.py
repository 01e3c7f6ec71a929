"""Tests of starts that are offered before they are ordered."""

import attrs

from tests.batch.jobs_fakes import (
    accept,
    add_run,
    create_batch_state,
    create_fleet,
    create_worker,
    step,
)
from wasabiturn.batch.fleet import Allocation, Worker
from wasabiturn.batch.orders.lost_runs import not_started_end
from wasabiturn.batch.orders.offers import (
    OVERDUE_REVIEWS,
    RECEIPT_SECONDS,
    accept_receipt,
    find_missed_offers,
    record_offers,
    record_receipt,
    takes_offers,
)
from wasabiturn.batch.placing.candidates import accepts_work
from wasabiturn.messages.batch import OrderReceipt

OFFER_NUMBER = 3
FENCE = 7
OVERDUE_AT = RECEIPT_SECONDS + 0.01


def create_offered() -> tuple[Worker, Allocation]:
    """Return a worker with one start that was offered at 0 s."""
    worker = create_worker('w')
    worker.fence = FENCE
    worker.order_number = OFFER_NUMBER
    batch_state = create_batch_state(accept('j', step()))
    task = batch_state.tasks_by_name['j.0.0.0']
    task.run = 1
    worker.allocate(task, now=0)
    allocation = worker.allocations_by_task[task.name]
    allocation.is_ordered = False
    record_offers(worker, [allocation], now=0)
    return worker, allocation


def create_receipt(number: int = OFFER_NUMBER) -> OrderReceipt:
    return OrderReceipt(worker='w', born_ms=1, fence=FENCE, number=number)


def test_offer_with_a_receipt_is_ordered_once() -> None:
    worker, allocation = create_offered()
    assert accept_receipt(worker, create_receipt(), now=0.1)
    assert allocation.is_ordered
    assert not accept_receipt(worker, create_receipt(), now=0.1)


def test_receipt_of_earlier_orders_permits_no_later_offer() -> None:
    worker, allocation = create_offered()
    assert not accept_receipt(worker, create_receipt(OFFER_NUMBER - 1), now=0.1)
    assert not allocation.is_ordered


def test_repeated_offer_counts_from_the_first() -> None:
    worker, allocation = create_offered()
    worker.order_number += 1
    record_offers(worker, [allocation], now=0.1)
    assert allocation.offered_at == 0
    assert accept_receipt(worker, create_receipt(), now=0.1)


def test_receipt_of_another_life_or_fence_permits_nothing() -> None:
    worker, allocation = create_offered()
    receipt = create_receipt()
    for other in (
        attrs.evolve(receipt, born_ms=2),
        attrs.evolve(receipt, worker='v'),
        attrs.evolve(receipt, fence=FENCE - 1),
        OrderReceipt(),
    ):
        assert not accept_receipt(worker, other, now=0.1)
    assert not allocation.is_ordered


def test_missed_offer_ends_without_an_open_order() -> None:
    worker, allocation = create_offered()
    fleet = create_fleet(worker)
    assert not find_missed_offers(fleet, RECEIPT_SECONDS / 2)
    for _ in range(OVERDUE_REVIEWS - 1):
        assert not find_missed_offers(fleet, OVERDUE_AT)
    assert find_missed_offers(fleet, OVERDUE_AT) == [allocation]
    assert not not_started_end(allocation, OVERDUE_AT).has_open_order


def test_worker_that_missed_an_offer_gets_none_before_it_is_heard() -> None:
    worker, _ = create_offered()
    batch_state = create_batch_state()
    for _ in range(OVERDUE_REVIEWS):
        find_missed_offers(create_fleet(worker), OVERDUE_AT)
    assert not accepts_work(worker, batch_state, 1)
    worker.heard_at = 1
    assert accepts_work(worker, batch_state, 1)


def test_start_that_was_ordered_by_a_reply_is_not_missed() -> None:
    worker, allocation = create_offered()
    allocation.is_ordered = True
    for _ in range(OVERDUE_REVIEWS):
        assert not find_missed_offers(create_fleet(worker), OVERDUE_AT)


def test_agent_that_missed_an_offer_gets_orders_at_once_once_it_is_heard() -> (
    None
):
    worker, _ = create_offered()
    worker.report.sends_receipts = True
    for _ in range(OVERDUE_REVIEWS):
        find_missed_offers(create_fleet(worker), OVERDUE_AT)
    assert takes_offers(worker)
    worker.heard_at = 1
    assert not takes_offers(worker)
    record_receipt(worker, pushed_at=1, now=1 + OVERDUE_AT)
    assert not takes_offers(worker)
    record_receipt(worker, pushed_at=2, now=2 + RECEIPT_SECONDS / 2)
    assert takes_offers(worker)


def test_start_without_an_offer_is_not_missed() -> None:
    worker, allocation = create_offered()
    allocation.offered_at = None
    add_run(worker, allocation.task)
    for _ in range(OVERDUE_REVIEWS):
        assert not find_missed_offers(create_fleet(worker), OVERDUE_AT)
