"""Delivery of orders to agents, and the end of offers without a receipt.

See ``wasabiturn/batch/offers.py``.
"""

from collections.abc import Callable

from twisted.python.failure import Failure

from wasabiturn.batch.fleet import Allocation
from wasabiturn.batch.lost_runs import not_started_end
from wasabiturn.connection.link import Link
from wasabiturn.messages.batch import EndRun, OrderReceipt, WorkerOrders
from wasabiturn.messages.kinds import Method
from wasabiturn.process import exposition
from wasabiturn.utils.logs import create_component_log

# A receipt that comes later is of no use: the offer has been withdrawn.
RECEIPT_TIMEOUT_SECONDS = 1.0

_log = create_component_log('queues')


def push_orders(
    link: Link,
    orders: WorkerOrders,
    on_receipt: Callable[[OrderReceipt], None],
) -> None:
    """Send orders; ``on_receipt`` gets the receipt if they offer starts."""
    if not orders.offered:
        link.notify(Method.worker_orders, orders)
        return
    answered = link.call(
        Method.worker_orders, orders, OrderReceipt, RECEIPT_TIMEOUT_SECONDS
    )
    answered.addCallback(on_receipt)
    answered.addErrback(_log_failure, orders)


def end_missed_offers(
    missed_offers: list[Allocation], now: float
) -> list[EndRun]:
    """Return the ends of starts that were offered without a receipt."""
    for allocation in missed_offers:
        exposition.missed_offers.inc()
        _log.decision(
            'withdraws offer without a receipt',
            task=allocation.task.name,
            run=allocation.run,
            worker=allocation.task.worker,
        )
    return [not_started_end(each, now) for each in missed_offers]


def _log_failure(failure: Failure, orders: WorkerOrders) -> None:
    _log.event(
        'no receipt for offered starts',
        worker=orders.worker,
        number=orders.number,
        offered=orders.offered,
        error=repr(failure.value),
    )
