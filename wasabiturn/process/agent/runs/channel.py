"""Channel for orders to one incarnation of the local worker."""

from collections.abc import Callable
from typing import Any, final

import attrs
from twisted.internet.defer import Deferred, DeferredSemaphore
from twisted.python.failure import Failure

from wasabiturn.messages.batch import PaceOrder, StopOrder
from wasabiturn.process.agent.runs.answer_tracker import AnswerTracker
from wasabiturn.process.agent.runs.fencing_token import FencingToken
from wasabiturn.process.agent.runs.open_orders import OrderRegistry
from wasabiturn.process.agent.runs.port import WorkerIdentity, WorkerPort
from wasabiturn.utils.logs import create_component_log

# Each order in flight takes a connection to the worker.
MAX_PARALLEL_ORDERS = 3

_log = create_component_log('runs')


def _create_semaphore() -> DeferredSemaphore:
    return DeferredSemaphore(MAX_PARALLEL_ORDERS)


@final
@attrs.define
class WorkerChannel:
    """Sends a few orders at a time, under the newest fencing token.

    ``identity`` is None until the leader has sent orders, and once the
    incarnation has ended.
    """

    port: WorkerPort
    clock: Any
    open_orders: OrderRegistry
    token: FencingToken
    answers: AnswerTracker
    identity: WorkerIdentity | None = None
    is_closed: bool = False
    _semaphore: DeferredSemaphore = attrs.field(factory=_create_semaphore)

    def open(self, identity: WorkerIdentity) -> None:
        """Send orders to ``identity``, unless its incarnation has ended."""
        if not self.is_closed:
            self.identity = identity

    def close(self) -> None:
        """Send no more orders, as the worker has another incarnation."""
        self.is_closed = True
        self.identity = None

    def run(
        self, send: Callable[..., Deferred[Any]], *arguments: Any
    ) -> Deferred[None]:
        """Call ``send`` once fewer orders are in flight."""
        sent: Deferred[None] = self._semaphore.run(send, *arguments)
        return sent

    def send_stop(
        self, identity: WorkerIdentity, order: StopOrder
    ) -> Deferred[None]:
        """Stop a run, or prevent it from ever starting."""
        return self.run(
            lambda: self.port.stop(identity, order, self.token.value)
        )

    def send_pace(self, identity: WorkerIdentity, order: PaceOrder) -> None:
        """Throttle a run; a failure is logged."""
        sent = self.run(
            lambda: self.port.pace(identity, order, self.token.value)
        )
        sent.addErrback(log_order_failure)


def log_order_failure(failure: Failure) -> None:
    """Log that an order failed."""
    _log.event('order to worker failed', error=str(failure.value))
