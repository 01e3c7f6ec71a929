"""Orders from the leader to agents, as heartbeat replies and as notices."""

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
    """Create numbered orders and send them over the link of each agent."""

    def __init__(self, replica: Replica) -> None:
        """Create a publisher that knows no links yet."""
        # Tasks with a change that is being committed; none of them is started.
        self.proposed_tasks: set[str] = set()
        self._replica = replica
        self._serial = 0
        self._links_by_worker: dict[str, Link] = {}

    def set_link(self, worker: Worker, link: Link) -> None:
        """Use ``link`` for orders pushed to ``worker``."""
        self._links_by_worker[worker.name] = link

    def remove_link(self, link: Link) -> None:
        """Stop using a closed link."""
        for name, known in list(self._links_by_worker.items()):
            if known is link:
                self._links_by_worker.pop(name)

    def issue_orders(
        self,
        table: PlacementTable,
        worker: Worker,
        now: float,
    ) -> Orders:
        """Return the orders for a worker and grant its leases at ``now``.

        Only a leader that holds its lease at ``now`` may call this.
        """
        table.granted_at_by_incarnation[worker.name, worker.incarnation] = now
        self._serial += 1
        return Orders(
            sequence=worker.sequence,
            revision=self._replica.state.revision,
            may_start=may_start(table, worker),
            orders=list_orders(table, worker, self.proposed_tasks, now),
            permit_seconds=PERMIT_SECONDS,
            lease_seconds=TASK_LEASE_SECONDS,
            serial=self._serial,
        )

    def push(self, table: PlacementTable, now: float) -> None:
        """Push orders to the workers whose tasks have changed."""
        if not self._replica.holds_lease(now):
            return
        reachable = table.workers_to_notify & self._links_by_worker.keys()
        table.workers_to_notify.clear()
        for name in sorted(reachable):
            worker = table.workers_by_name[name]
            if worker.has_recent_heartbeat(now):
                orders = self.issue_orders(table, worker, now)
                link = self._links_by_worker[name]
                link.notify(Method.orders, orders)
