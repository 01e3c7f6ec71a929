"""Orders of the leader to agents, as answers and as notices."""

from typing import final

from wasabiturn.connection.link import Link
from wasabiturn.messages.kinds import Method
from wasabiturn.messages.session import Orders
from wasabiturn.version.placement.orders import list_orders, may_start
from wasabiturn.version.placement.periods import (
    PERMIT_SECONDS,
    TASK_LEASE_SECONDS,
)
from wasabiturn.version.placement.table import PlacementTable
from wasabiturn.version.placement.workers import Worker
from wasabiturn.version.replica import Replica


@final
class OrderPublisher:
    """Numbers orders and remembers over which link each agent is reached."""

    def __init__(self, replica: Replica) -> None:
        """Create a publisher that no agent has reached yet."""
        self._replica = replica
        self._serial = 0
        self._links_by_worker: dict[str, Link] = {}

    def remember_link(self, worker: Worker, link: Link) -> None:
        """Push orders of ``worker`` over ``link`` from now on."""
        self._links_by_worker[worker.name] = link

    def forget_link(self, link: Link) -> None:
        """Push nothing over a lost link."""
        for name, known in list(self._links_by_worker.items()):
            if known is link:
                self._links_by_worker.pop(name)

    def answer(
        self,
        table: PlacementTable,
        worker: Worker,
        now: float,
    ) -> Orders:
        """Return the orders of a worker; grants its leases at ``now``.

        Only a leader that holds its lease at ``now`` may call it.
        """
        table.granted_at_by_incarnation[worker.name, worker.incarnation] = now
        self._serial += 1
        return Orders(
            sequence=worker.sequence,
            revision=self._replica.state.revision,
            may_start=may_start(table, worker),
            orders=list_orders(table, worker, now),
            permit_seconds=PERMIT_SECONDS,
            lease_seconds=TASK_LEASE_SECONDS,
            serial=self._serial,
        )

    def push(self, table: PlacementTable, now: float) -> None:
        """Push orders to the workers whose tasks have changed."""
        if not self._replica.holds_lease(now):
            return
        reached = table.workers_to_notify & self._links_by_worker.keys()
        table.workers_to_notify.clear()
        for name in sorted(reached):
            worker = table.workers_by_name[name]
            if worker.has_recent_heartbeat(now):
                orders = self.answer(table, worker, now)
                link = self._links_by_worker[name]
                link.notify(Method.orders, orders)
