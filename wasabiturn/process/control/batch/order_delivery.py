"""Delivery of the leader's orders to the agents, over their links."""

from collections.abc import Callable, Iterable
from typing import Any, final

from wasabiturn.batch.fleet import Fleet, Worker
from wasabiturn.batch.orders.order_limits import find_due_limits
from wasabiturn.connection.link import Link
from wasabiturn.messages.batch import MoveLimit, OrderReceipt, WorkerOrders
from wasabiturn.process.control.batch.offers import (
    accept_offers,
    push_orders,
)
from wasabiturn.process.control.batch.orders import awaits_start, create_orders


@final
class OrderDelivery:
    """Sends each agent what it is to do, of the starts that are committed."""

    def __init__(
        self,
        fleet: Fleet,
        clock: Any,
        may_order: Callable[[], bool],
        on_received: Callable[[], None],
    ) -> None:
        """Create the delivery of one term.

        ``may_order`` tells whether this instance still leads. ``on_received``
        is called when agents have got offers of planned starts.
        """
        self.links_by_incarnation: dict[tuple[str, int], Link] = {}
        # Task and run of each committed start.
        self.committed_starts: set[tuple[str, int]] = set()
        self._fleet = fleet
        self._clock = clock
        self._may_order = may_order
        self._on_received = on_received

    def orders_for(self, worker: Worker, lease_ms: int) -> WorkerOrders:
        """Return the current orders for ``worker``, whose agent has called."""
        return create_orders(
            worker, self.committed_starts, lease_ms, self._now()
        )

    def find_due_limits(self, worker: Worker, clock_ms: int) -> list[MoveLimit]:
        """Return new limits of the starts that are to be ordered further.

        The agent of ``worker`` has reported; ``clock_ms`` is the time on the
        clock of the state.
        """
        if not worker.is_reconciled:
            return []
        awaiting = [
            allocation
            for allocation in worker.allocations_by_task.values()
            if awaits_start(allocation)
            and (allocation.task.name, allocation.run) in self.committed_starts
        ]
        return list(find_due_limits(worker, awaiting, clock_ms, self._now()))

    def send_all(self, incarnations: Iterable[tuple[str, int]]) -> None:
        """Send their current orders to several incarnations."""
        for incarnation in sorted(incarnations):
            self.send(incarnation)

    def send(self, incarnation: tuple[str, int]) -> None:
        """Send its current orders to an incarnation with a link."""
        worker = self._fleet.workers_by_incarnation.get(incarnation)
        link = self.links_by_incarnation.get(incarnation)
        if worker is None or link is None:
            return
        now = self._now()
        orders = create_orders(
            worker,
            self.committed_starts,
            lease_ms=0,
            now=now,
            is_pushed=True,
        )
        push_orders(
            link,
            worker,
            orders,
            lambda receipt: self._order_offered(receipt, now),
        )

    def _now(self) -> float:
        return float(self._clock.seconds())

    def _order_offered(self, receipt: OrderReceipt, pushed_at: float) -> None:
        """Commit or order the starts whose offer has reached an agent."""
        if not self._may_order():
            return
        received = accept_offers(self._fleet, receipt, pushed_at, self._now())
        if any(allocation.is_planned for allocation in received):
            self._on_received()
        if any(allocation.is_ordered for allocation in received):
            self.send((receipt.worker, receipt.born_ms))
