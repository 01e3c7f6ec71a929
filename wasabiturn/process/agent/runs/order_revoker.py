"""Revocation of open orders in a life of the worker that refuses holds.

A hold would make them void. A stop prevents its run from ever starting there,
and carries the fencing token as well.
"""

from typing import final

import attrs

from wasabiturn.messages.batch import StopOrder
from wasabiturn.process.agent.runs.channel import log_order_failure
from wasabiturn.process.agent.runs.open_orders import OrderRegistry
from wasabiturn.process.agent.runs.port import WorkerIdentity, WorkerPort


@final
@attrs.frozen
class OrderRevoker:
    """Sends stops for the runs whose orders were sent to an earlier life."""

    port: WorkerPort
    open_orders: OrderRegistry

    def revoke(self, identity: WorkerIdentity, token: int) -> None:
        """Prevent those runs from starting in the life of ``identity``."""
        for task, run in self.open_orders.list_outlived_runs(identity):
            order = StopOrder(task=task, run=run)
            stopped = self.port.stop(identity, order, token)
            stopped.addErrback(log_order_failure)
