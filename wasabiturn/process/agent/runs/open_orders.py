"""Orders without an answer, which the worker may still carry out.

They outlive the incarnation that they were sent to, since the next one under
the same name may carry them out, and what the leader still orders.
"""

from typing import Any, final

import attrs

from wasabiturn.messages.batch import OpenOrder, OpenOrders, StartOrder
from wasabiturn.messages.limits import ORDER_LIFETIME_SECONDS

_MS = 1000


@final
@attrs.define(eq=False)
class SentOrder:
    """One order that was sent to the worker of a name.

    ``is_answered`` is set if a later incarnation of that name answered it.
    """

    task: str
    run: int
    worker: str
    sent_at: float
    is_answered: bool = False


@final
class OrderRegistry:
    """The orders of this process that were not answered in their lifetime."""

    def __init__(self, clock: Any) -> None:
        """Create an empty registry."""
        self._clock = clock
        self._begun_at = clock.seconds()
        self._sent_orders: list[SentOrder] = []

    def record(self, order: StartOrder, worker: str) -> SentOrder:
        """Record an order that is sent now."""
        sent_order = SentOrder(
            task=order.task,
            run=order.run,
            worker=worker,
            sent_at=self._clock.seconds(),
        )
        self._sent_orders.append(sent_order)
        return sent_order

    def settle(self, sent_order: SentOrder) -> None:
        """Remove an order that was answered."""
        if sent_order in self._sent_orders:
            self._sent_orders.remove(sent_order)

    def describe(self) -> OpenOrders:
        """Return the orders that are open now."""
        now = self._clock.seconds()
        self._sent_orders = [
            sent_order
            for sent_order in self._sent_orders
            if now < sent_order.sent_at + ORDER_LIFETIME_SECONDS
        ]
        return OpenOrders(
            known_ms=int((now - self._begun_at) * _MS),
            orders=[
                OpenOrder(
                    task=sent_order.task,
                    run=sent_order.run,
                    worker=sent_order.worker,
                    age_ms=int((now - sent_order.sent_at) * _MS),
                    is_answered=sent_order.is_answered,
                )
                for sent_order in self._sent_orders
            ],
        )
