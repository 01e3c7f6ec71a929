"""Delivery of orders to agents, and the end of offers without a receipt.

See ``wasabiturn/batch/orders/offers.py``.
"""

from collections.abc import Callable
from typing import final

import attrs
from twisted.python.failure import Failure

from wasabiturn.batch.fleet import Allocation, Fleet, Worker
from wasabiturn.batch.orders.lost_runs import not_started_end
from wasabiturn.batch.orders.offers import (
    accept_receipt,
    find_missed_offers,
    record_receipt,
    wants_receipt,
)
from wasabiturn.batch.orders.planned_starts import PlannedStarts
from wasabiturn.connection.link import Link
from wasabiturn.messages.batch import EndRun, OrderReceipt, WorkerOrders
from wasabiturn.messages.kinds import Method
from wasabiturn.process import exposition
from wasabiturn.process.control.batch.stops import withdraw_starts
from wasabiturn.utils.logs import create_component_log

# A receipt that comes later is of no use: the offer has been withdrawn.
RECEIPT_TIMEOUT_SECONDS = 1.0

_log = create_component_log('queues')


@final
@attrs.frozen
class Withdrawal:
    """Ends of withdrawn starts, and the workers whose orders have changed."""

    ends: list[EndRun]
    incarnations_to_notify: set[tuple[str, int]]


def push_orders(
    link: Link,
    worker: Worker,
    orders: WorkerOrders,
    on_receipt: Callable[[OrderReceipt], None],
) -> None:
    """Send orders; ``on_receipt`` gets the receipt if one is wanted."""
    if not wants_receipt(worker, orders):
        link.notify(Method.worker_orders, orders)
        return
    answered = link.call(
        Method.worker_orders, orders, OrderReceipt, RECEIPT_TIMEOUT_SECONDS
    )
    answered.addCallback(on_receipt)
    answered.addErrback(_log_failure, orders)


def accept_offers(
    fleet: Fleet, receipt: OrderReceipt, pushed_at: float, now: float
) -> list[Allocation]:
    """Return the starts that a receipt is for.

    It answers orders that were sent at ``pushed_at``.
    """
    incarnation = (receipt.worker, receipt.born_ms)
    worker = fleet.workers_by_incarnation.get(incarnation)
    if worker is None:
        return []
    record_receipt(worker, pushed_at, now)
    return accept_receipt(worker, receipt, now)


def withdraw_missed_offers(
    fleet: Fleet, planned_starts: PlannedStarts, now: float
) -> Withdrawal:
    """Withdraw the starts that were offered without a receipt.

    The other members of their gangs are withdrawn as well.
    """
    missed = find_missed_offers(fleet, now)
    for allocation in missed:
        exposition.missed_offers.inc()
        _log.decision(
            'withdraws offer without a receipt',
            task=allocation.task.name,
            run=allocation.run,
            worker=allocation.task.worker,
            is_planned=allocation.is_planned,
        )
    committed = [each for each in missed if not each.is_planned]
    planned_starts.revoke(each.task.name for each in missed if each.is_planned)
    gangs = [each for each in committed if each.task.step.gang]
    return Withdrawal(
        ends=[not_started_end(each, now) for each in committed],
        incarnations_to_notify=withdraw_starts(fleet, gangs),
    )


def _log_failure(failure: Failure, orders: WorkerOrders) -> None:
    _log.event(
        'no receipt for orders',
        worker=orders.worker,
        number=orders.number,
        offered=orders.offered,
        error=repr(failure.value),
    )
