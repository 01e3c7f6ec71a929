"""Starts that are offered to an agent before they are ordered.

The leader pushes new starts to an agent of which it does not know whether it
still runs. The push only offers them; the agent answers with a receipt, after
which the leader orders them. What was never ordered cannot have been carried
out, so an offer without a receipt ends as not started, and its task may start
elsewhere at once.

Agents of earlier versions send no receipts; they get their orders at once. So
do agents that missed an offer and were heard since, until one of their receipts
comes in time: behind a slow link they would miss each offer.
"""

from collections.abc import Iterable

from wasabiturn.batch.fleet import Allocation, Fleet, Worker
from wasabiturn.messages.batch import OrderReceipt, WorkerOrders

# Several round trips between data centres.
RECEIPT_SECONDS = 0.2
# Receipts that came while this process stood still are read between the two.
OVERDUE_REVIEWS = 2


def record_offers(
    worker: Worker, allocations: Iterable[Allocation], now: float
) -> None:
    """Record that the newest orders to ``worker`` offer these starts."""
    for allocation in allocations:
        if allocation.offered_at is None:
            allocation.offered_at = now
            allocation.offer_number = worker.order_number


def takes_offers(worker: Worker) -> bool:
    """Return whether new starts are offered to a worker's agent first."""
    if not worker.report.sends_receipts:
        return False
    was_heard_since = worker.heard_at > worker.offer_missed_at
    return not (worker.has_late_receipts and was_heard_since)


def wants_receipt(worker: Worker, orders: WorkerOrders) -> bool:
    """Return whether the agent is asked to acknowledge pushed orders."""
    return orders.offered > 0 or (
        worker.has_late_receipts and worker.report.sends_receipts
    )


def record_receipt(worker: Worker, pushed_at: float, now: float) -> None:
    """Record that the agent acknowledged orders that were then pushed."""
    if now < pushed_at + RECEIPT_SECONDS:
        worker.has_late_receipts = False


def accept_receipt(worker: Worker, receipt: OrderReceipt) -> bool:
    """Have the starts ordered that a receipt is for; return if any are.

    Receipts of other lives, or under another fencing token, are for none.
    """
    if (receipt.worker, receipt.born_ms) != (worker.name, worker.born_ms):
        return False
    if receipt.fence != worker.fence:
        return False
    received = [
        allocation
        for allocation in worker.allocations_by_task.values()
        if _awaits_receipt(allocation)
        and allocation.offer_number <= receipt.number
    ]
    for allocation in received:
        allocation.is_ordered = True
    return bool(received)


def find_missed_offers(fleet: Fleet, now: float) -> list[Allocation]:
    """Return the offered starts whose receipts are overdue; for each review.

    Their workers get no new starts before their agents are heard again.
    """
    missed: list[Allocation] = []
    for worker in fleet.workers_by_incarnation.values():
        overdue = [
            allocation
            for allocation in worker.allocations_by_task.values()
            if _is_overdue(allocation, now)
        ]
        for allocation in overdue:
            allocation.overdue_reviews += 1
            if allocation.overdue_reviews >= OVERDUE_REVIEWS:
                worker.offer_missed_at = now
                worker.has_late_receipts = True
                missed.append(allocation)
    return missed


def _awaits_receipt(allocation: Allocation) -> bool:
    is_awaited = allocation.offered_at is not None
    return is_awaited and not allocation.is_ordered


def _is_overdue(allocation: Allocation, now: float) -> bool:
    offered_at = allocation.offered_at
    if offered_at is None or allocation.is_ordered or allocation.is_confirmed:
        return False
    return now >= offered_at + RECEIPT_SECONDS
