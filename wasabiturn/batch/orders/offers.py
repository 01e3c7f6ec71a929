"""Starts that are offered to an agent before they are ordered.

The leader pushes new starts to an agent of which it does not know whether it
still runs. The push only offers them; the agent answers with a receipt, after
which the leader commits the starts, and then orders them. What was never
ordered cannot have been carried out, so an offer without a receipt ends as not
started, and its task may start elsewhere at once. If the commit takes longer
than a receipt may, the start is offered again.

Agents of earlier versions send no receipts; their starts are committed and
ordered at once. So are those of agents that missed an offer and were heard
since, until one of their receipts comes in time: behind a slow link they would
miss each offer.
"""

from collections.abc import Iterable

from wasabiturn.batch.fleet import NEVER, Allocation, Fleet, Worker
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
        if allocation.is_received:
            # Its commit took long; the agent may be gone since.
            allocation.received_at = NEVER
            allocation.offered_at = None
            allocation.overdue_reviews = 0
        if allocation.offered_at is None:
            allocation.offered_at = now
            allocation.offer_number = worker.order_number


def takes_offers(worker: Worker) -> bool:
    """Return whether new starts are offered to a worker's agent first."""
    if not worker.report.sends_receipts:
        return False
    was_heard_since = worker.heard_at > worker.offer_missed_at
    return not (worker.has_late_receipts and was_heard_since)


def needs_offer(worker: Worker, allocation: Allocation, now: float) -> bool:
    """Return whether a push to the agent only offers a start."""
    if allocation.is_planned:
        return not allocation.is_received
    if allocation.is_ordered or not takes_offers(worker):
        return False
    return now >= allocation.received_at + RECEIPT_SECONDS


def wants_receipt(worker: Worker, orders: WorkerOrders) -> bool:
    """Return whether the agent is asked to acknowledge pushed orders."""
    return orders.offered > 0 or (
        worker.has_late_receipts and worker.report.sends_receipts
    )


def record_receipt(worker: Worker, pushed_at: float, now: float) -> None:
    """Record that the agent acknowledged orders that were then pushed."""
    if now < pushed_at + RECEIPT_SECONDS:
        worker.has_late_receipts = False


def accept_receipt(
    worker: Worker, receipt: OrderReceipt, now: float
) -> list[Allocation]:
    """Return the starts that a receipt is for, which are then received.

    Committed ones are to be ordered. Receipts of other lives, or under another
    fencing token, are for none.
    """
    if (receipt.worker, receipt.born_ms) != (worker.name, worker.born_ms):
        return []
    if receipt.fence != worker.fence:
        return []
    received = [
        allocation
        for allocation in worker.allocations_by_task.values()
        if _awaits_receipt(allocation)
        and allocation.offer_number <= receipt.number
    ]
    for allocation in received:
        allocation.received_at = now
        allocation.is_ordered = not allocation.is_planned
    return received


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
                _record_missed(worker, allocation, now)
                missed.append(allocation)
    return missed


def _record_missed(worker: Worker, allocation: Allocation, now: float) -> None:
    if allocation.offered_at is not None:
        worker.offer_missed_at = now
        worker.has_late_receipts = True


def _awaits_receipt(allocation: Allocation) -> bool:
    if allocation.offered_at is None or allocation.is_received:
        return False
    return not allocation.is_ordered


def _is_overdue(allocation: Allocation, now: float) -> bool:
    if allocation.is_received or allocation.is_ordered:
        return False
    if allocation.is_confirmed:
        return False
    offered_at = allocation.offered_at
    if offered_at is None:
        # The fencing token of its worker was raised before it was offered.
        offered_at = allocation.started_at if allocation.is_planned else now
    return now >= offered_at + RECEIPT_SECONDS
