"""Delivery of the leader's orders to the worker.

An order that gets no answer may still be carried out. A start is therefore
repeated under the same run number, by which the worker recognises the run,
until it is answered, stopped, or superseded by a listing under a higher fence.
"""

from collections.abc import Callable
from typing import Any, final

from twisted.internet.defer import Deferred, DeferredSemaphore, succeed
from twisted.python.failure import Failure

from wasabiturn.messages.batch import PaceOrder, StopOrder, WorkerOrders
from wasabiturn.messages.kinds import StartOutcome
from wasabiturn.process import exposition
from wasabiturn.process.agent.runs.lease import Grants
from wasabiturn.process.agent.runs.port import (
    OrderRefusedError,
    OtherIncarnationError,
    RunListing,
    WorkerIdentity,
    WorkerPort,
)
from wasabiturn.process.agent.runs.starts import RunKey, Start, StartTable
from wasabiturn.utils.logs import create_component_log

RETRY_SECONDS = 0.2
# Each order in flight takes a connection to the worker.
MAX_PARALLEL_ORDERS = 3
# Reasons for a refusal, as the worker sends them: the worker has already had
# this run, or the lease in the order had expired.
REASON_RUN_OUTDATED = 'old'
REASON_LEASE_EXPIRED = 'late'
FULL_PERCENT = 100

_log = create_component_log('runs')


@final
class OrderSender:
    """Sends orders to one incarnation of a worker."""

    def __init__(
        self,
        port: WorkerPort,
        clock: Any,
        incarnation: tuple[str, int],
        on_start_refused: Callable[[], None],
        on_stop_confirmed: Callable[[], None],
    ) -> None:
        """Create the sender.

        ``on_start_refused`` is called for each start that was refused,
        ``on_stop_confirmed`` once no other stop awaits confirmation.
        """
        self.grants = Grants()
        self.table = StartTable()
        self._port = port
        self._clock = clock
        self._incarnation = incarnation
        self._on_start_refused = on_start_refused
        self._on_stop_confirmed = on_stop_confirmed
        self._pending_stops: set[RunKey] = set()
        self._semaphore = DeferredSemaphore(MAX_PARALLEL_ORDERS)
        self._identity: WorkerIdentity | None = None
        self._fence = 0
        self._sent_holds = 0

    def follow_leader(self, fence: int) -> None:
        """Discard the starts that leaders before ``fence`` ordered."""
        self._fence = fence
        self.table.drop_superseded(fence)

    def suspend(self) -> None:
        """Stop sending starts, as the worker has another incarnation."""
        self._identity = None

    def accept_orders(
        self, identity: WorkerIdentity, orders: WorkerOrders
    ) -> None:
        """Send stops and paces at once; queue starts for ``send_starts``."""
        self._identity = identity
        self.table.add(orders.starts, orders.fence)
        still_ordered = {(order.task, order.run) for order in orders.starts}
        for start in self.table.forget_settled(still_ordered):
            exposition.start_orders.labels('forgotten').inc()
            _log.decision(
                'start forgotten, as it is no longer ordered',
                **start.describe(),
                ordered_starts=len(orders.starts),
            )
        for stop in orders.stops:
            self._send_stop(identity, stop)
        for pace in orders.paces:
            self._send_pace(identity, pace)

    def apply_listing(self, listing: RunListing, sent_holds: int) -> None:
        """Update the outcomes of starts and stops from a listing."""
        self.table.settle(listing, sent_holds)

    def send_starts(self) -> None:
        """Send the queued starts, if the leader has answered recently."""
        identity = self._identity
        if identity is None:
            return
        for start in self.table.list_unsent():
            if identity.is_draining:
                self._record_refusal(start, 'the worker leaves')
            elif self.grants.may_start(self._clock.seconds()):
                start.is_sent = True
                self._semaphore.run(self._send_start, identity, start)

    def record_sent_holds(self, sent_holds: int) -> None:
        """Record how many holds were sent, to recognise later listings."""
        self._sent_holds = sent_holds

    def _send_start(
        self,
        identity: WorkerIdentity,
        start: Start,
    ) -> Deferred[None]:
        if not self._is_still_ordered(start):
            return succeed(None)
        start.order_count += 1
        exposition.start_orders.labels('sent').inc()
        _log.decision('sends start', **start.describe())
        sent = self._port.start(
            identity,
            start.order,
            start.fence,
            self.grants.lease_until_ms,
        )
        sent.addCallbacks(
            self._handle_started,
            self._handle_start_failure,
            (start,),
            {},
            (start,),
        )
        return sent

    def _is_still_ordered(self, start: Start) -> bool:
        key = (start.order.task, start.order.run)
        return self.table.starts_by_run.get(key) is start

    def _handle_started(self, nothing: None, start: Start) -> None:
        start.outcome = StartOutcome.started
        exposition.start_orders.labels('started').inc()
        _log.decision('start answered', **start.describe())
        order = start.order
        if order.percent < FULL_PERCENT and self._identity is not None:
            pace = PaceOrder(order.task, order.run, order.percent)
            self._send_pace(self._identity, pace)

    def _handle_start_failure(self, failure: Failure, start: Start) -> None:
        error = failure.value
        if isinstance(error, OrderRefusedError):
            self._handle_refusal(start, error.reason)
        elif isinstance(error, OtherIncarnationError):
            self._record_refusal(start, 'the worker has another life')
        else:
            start.has_unanswered_order = True
            exposition.start_orders.labels('unanswered').inc()
            _log.event(
                'start order failed; it will be retried',
                **start.describe(),
                error=str(error),
            )
            self._clock.callLater(RETRY_SECONDS, self._retry_start, start)

    def _handle_refusal(self, start: Start, reason: str) -> None:
        if reason == REASON_RUN_OUTDATED:
            # The run has already ended; its end is or was listed.
            start.outcome = StartOutcome.started
        elif reason == REASON_LEASE_EXPIRED:
            self._clock.callLater(RETRY_SECONDS, self._retry_start, start)
        elif start.has_unanswered_order:
            self._revoke_start(start)
        else:
            self._record_refusal(start, reason)

    def _revoke_start(self, start: Start) -> None:
        """Stop a run whose start is uncertain, so that it never begins.

        The run counts as refused once a later listing does not have it; until
        then it stays pending, and is not sent again.
        """
        identity = self._identity
        if identity is None or not self._is_still_ordered(start):
            return
        order = StopOrder(task=start.order.task, run=start.order.run)
        key = (order.task, order.run)
        _log.decision(
            'stops a run whose start is uncertain', task=key[0], run=key[1]
        )
        sent = self._semaphore.run(
            self._port.stop, identity, order, self._fence
        )
        sent.addCallback(self._handle_stop_confirmed, key)
        sent.addErrback(self._retry_revoke, start)

    def _retry_revoke(self, failure: Failure, start: Start) -> None:
        _log_failure(failure)
        self._clock.callLater(RETRY_SECONDS, self._revoke_start, start)

    def _retry_start(self, start: Start) -> None:
        if start.outcome is not StartOutcome.pending:
            return
        start.is_sent = False
        self.send_starts()

    def _record_refusal(self, start: Start, reason: str) -> None:
        exposition.start_orders.labels('refused').inc()
        _log.decision(
            'start refused',
            **start.describe(),
            worker=self._incarnation[0],
            reason=reason,
        )
        start.outcome = StartOutcome.refused
        start.reason = reason
        self._on_start_refused()

    def _send_stop(self, identity: WorkerIdentity, order: StopOrder) -> None:
        key = (order.task, order.run)
        if key in self._pending_stops or key in self.table.confirmed_stops:
            return
        self._pending_stops.add(key)
        self.table.starts_by_run.pop(key, None)
        _log.decision('stops run', task=order.task, run=order.run)
        sent = self._semaphore.run(
            self._port.stop, identity, order, self._fence
        )
        sent.addCallback(self._handle_stop_confirmed, key)
        sent.addErrback(_log_failure)
        sent.addBoth(lambda _: self._pending_stops.discard(key))

    def _handle_stop_confirmed(self, nothing: None, key: RunKey) -> None:
        self.table.confirmed_stops[key] = self._sent_holds
        if not self._pending_stops - {key}:
            self._on_stop_confirmed()

    def _send_pace(self, identity: WorkerIdentity, order: PaceOrder) -> None:
        sent = self._semaphore.run(
            self._port.pace, identity, order, self._fence
        )
        sent.addErrback(_log_failure)


def _log_failure(failure: Failure) -> None:
    _log.event('order to worker failed', error=str(failure.value))
