"""Revocation of open orders in a life of the worker that refuses holds.

A hold would make them void. A stop prevents its run from ever starting there,
and carries the fencing token as well.
"""

from typing import final

import attrs
from twisted.python.failure import Failure

from wasabiturn.messages.batch import StopOrder
from wasabiturn.process.agent.runs.channel import log_order_failure
from wasabiturn.process.agent.runs.open_orders import OrderRegistry
from wasabiturn.process.agent.runs.port import WorkerIdentity, WorkerPort
from wasabiturn.process.agent.runs.starts import RunKey


@final
@attrs.define
class OrderRevoker:
    """Sends stops for the runs whose orders were sent to an earlier life."""

    port: WorkerPort
    open_orders: OrderRegistry
    # Runs of which a stop was sent to the life in question, and did not fail.
    _life: tuple[str, int] | None = None
    _stopped_runs: set[RunKey] = attrs.field(factory=set)

    def revoke(self, identity: WorkerIdentity, token: int) -> None:
        """Prevent those runs from starting in the life of ``identity``."""
        if identity.life != self._life:
            self._life = identity.life
            self._stopped_runs = set()
        outlived = self.open_orders.list_outlived_runs(identity)
        for key in outlived - self._stopped_runs:
            self._stopped_runs.add(key)
            task, run = key
            order = StopOrder(task=task, run=run)
            stopped = self.port.stop(identity, order, token)
            stopped.addErrback(self._handle_failure, self._stopped_runs, key)

    def _handle_failure(
        self, failure: Failure, stopped_runs: set[RunKey], key: RunKey
    ) -> None:
        """Have the next refused hold send the stop again."""
        log_order_failure(failure)
        stopped_runs.discard(key)
