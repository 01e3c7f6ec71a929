"""Reconcile the runs of one worker with the orders of the leader.

The agent always has a hold, a long poll, open at the worker. A hold renews the
lease of all runs, and its answer lists the running and the ended runs. Each
answer is reported to the leader, whose reply carries orders and the next lease.
"""

from typing import Any, final

from twisted.internet.defer import maybeDeferred
from twisted.python.failure import Failure

from wasabiturn.messages.batch import (
    OrderReceipt,
    WorkerOrders,
    WorkerReport,
)
from wasabiturn.messages.kinds import Method
from wasabiturn.process import exposition
from wasabiturn.process.agent.runs.announced_place import is_followed
from wasabiturn.process.agent.runs.contact import (
    HOLD_RETRY_SECONDS,
    OPEN_ORDER_RETRY_SECONDS,
    WorkerContact,
)
from wasabiturn.process.agent.runs.hold_delay import (
    HoldDelay,
    has_acknowledged_all,
)
from wasabiturn.process.agent.runs.life_verifier import LifeVerifier
from wasabiturn.process.agent.runs.open_orders import OrderRegistry
from wasabiturn.process.agent.runs.order_revoker import OrderRevoker
from wasabiturn.process.agent.runs.port import (
    HoldRequest,
    OrderRefusedError,
    RunListing,
    WorkerIdentity,
    WorkerPort,
)
from wasabiturn.process.agent.runs.sender import OrderSender
from wasabiturn.process.agent.runs.token_source import TokenSource
from wasabiturn.process.leader_calls import LeaderCalls
from wasabiturn.utils.logs import create_component_log

# How long a hold waits for a run to end. It also bounds the age of the figures
# of tasks that share a worker.
HOLD_WAIT_MS = 1000
# Short, because nothing can start before an incarnation's first listing.
FIRST_HOLD_WAIT_MS = 50
# After a hold that failed: its answer tells whether a next life has begun.
PROBE_HOLD_WAIT_MS = 1
SHARED_HOLD_WAIT_MS = 500
CLOSED_PORT_REPORT_SECONDS = 0.01
REPORT_TIMEOUT_SECONDS = 1.0
_MS = 1000

_log = create_component_log('runs')


@final
class RunReconciler:
    """Reconciles the runs of the agent's local worker with the orders."""

    def __init__(
        self,
        port: WorkerPort,
        calls: LeaderCalls,
        clock: Any,
    ) -> None:
        """Create the reconciler; it starts when the worker announces itself."""
        self._port = port
        self._calls = calls
        self._clock = clock
        self._contact = WorkerContact()
        self._identity: WorkerIdentity | None = None
        self._is_closed = False
        self._is_reporting = False
        self._is_report_due = False
        self._is_closed_port_report_due = False
        # No queue that is configured uses the service of the worker.
        self._is_service_unknown = False
        self._sent_holds = 0
        self._hold_delay = HoldDelay(clock, self._send_next_hold)
        self._acknowledged_end = 0
        self._listing: RunListing | None = None
        self._open_orders = OrderRegistry(clock)
        self._revoker = OrderRevoker(port, self._open_orders)
        self._sender = self._create_sender()
        self._verifier = LifeVerifier(
            port=port,
            clock=clock,
            contact=self._contact,
            revoker=self._revoker,
            token_source=TokenSource(calls, self._follow_higher_fence),
            on_confirmed=self._follow_life,
            on_refuted=lambda: self._send_hold(0),
        )

    def announce(self, identity: WorkerIdentity) -> None:
        """Handle an announcement.

        The agent follows another life once the worker has confirmed it.
        """
        known = self._identity
        if known is None or known.life != identity.life:
            self._verifier.verify(identity, known)
        elif is_followed(known, identity, self._is_service_unknown):
            self._follow_changes(known, identity)

    def close(self) -> None:
        """Stop sending holds; runs continue until their lease expires."""
        self._is_closed = True
        self._verifier.forget_all()

    def apply_orders(self, orders: WorkerOrders) -> OrderReceipt:
        """Carry out the orders, unless they are outdated.

        Orders of earlier leaders or for other incarnations are ignored. The
        receipt names the newest orders that the agent has; it is empty for
        orders that were ignored.
        """
        identity = self._identity
        if identity is None or orders.fence < self._contact.token.fence:
            return OrderReceipt()
        if identity.life != (orders.worker, orders.born_ms):
            return OrderReceipt()
        self._follow_higher_fence(orders.fence)
        self._acknowledged_end = max(
            self._acknowledged_end, orders.acknowledged
        )
        self._sender.accept_orders(identity, orders)
        self._send_starts()
        if has_acknowledged_all(self._listing, self._acknowledged_end):
            self._hold_delay.finish()
        return OrderReceipt(
            worker=identity.worker,
            born_ms=identity.born_ms,
            fence=self._contact.token.fence,
            number=self._sender.newest_orders,
        )

    def _follow_life(self, identity: WorkerIdentity) -> None:
        """Follow a life that the worker has confirmed."""
        _log.event(
            'worker announced',
            worker=identity.worker,
            born_ms=identity.born_ms,
        )
        self._identity = identity
        self._hold_delay.cancel()
        self._listing = None
        self._contact.begin_incarnation()
        self._acknowledged_end = 0
        # Its retries must not reach the new incarnation, which may have its
        # name.
        self._sender.close()
        self._sender = self._create_sender()
        self._send_hold(FIRST_HOLD_WAIT_MS)

    def _follow_changes(
        self, known: WorkerIdentity, identity: WorkerIdentity
    ) -> None:
        """Report what changes where runs may start without delay."""
        self._identity = identity
        if (
            known.capacity == identity.capacity
            and known.is_draining == identity.is_draining
            and known.is_placed_like(identity)
        ):
            return
        _log.event(
            'worker changed its capacity, draining state or service',
            worker=identity.worker,
            service=identity.service_name,
            capacity=identity.capacity,
            is_draining=identity.is_draining,
        )
        if known.has_more_than(identity):
            # The leader chose the starts for the former capacity.
            self._sender.grants.record_shrink()
        self._sender.update_identity(identity)
        self._send_starts()
        self._send_report()

    def _create_sender(self) -> OrderSender:
        identity = self._identity
        return OrderSender(
            port=self._port,
            clock=self._clock,
            open_orders=self._open_orders,
            token=self._contact.token,
            on_start_outcome=self._send_report,
            on_closed_port=lambda: self._handle_closed_port(identity),
            on_list_needed=lambda: self._send_hold(0),
        )

    def _follow_higher_fence(self, fence: int) -> None:
        if fence <= self._contact.token.fence:
            return
        self._contact.token.follow(fence)
        self._acknowledged_end = 0
        self._sender.follow_fence(fence)
        self._send_hold(0)

    def _send_starts(self) -> None:
        """Send starts if the worker has listed its runs under this token."""
        if self._contact.is_connection_refused:
            if self._sender.refuse_unsent_starts():
                self._handle_closed_port(self._identity)
        elif self._contact.has_listed:
            self._sender.send_starts()

    def _send_hold(self, wait_ms: int) -> None:
        identity = self._identity
        if self._is_closed or identity is None:
            return
        self._sent_holds += 1
        self._sender.record_sent_holds(self._sent_holds)
        hold = HoldRequest(
            fence=self._contact.token.value,
            # After a failed hold, a new incarnation may answer this one; the
            # leader has not yet stored the ends of its runs.
            acknowledged=self._acknowledged_end
            if self._contact.is_listing_current
            else 0,
            # The clock of another life starts anew, so that an old lease would
            # be valid for long there.
            lease_until_ms=0
            if self._contact.has_found_other_life(identity.born_ms)
            else self._sender.grants.lease_until_ms,
            wait_ms=wait_ms,
            number=self._sent_holds,
        )
        answered = self._port.hold(identity, hold)
        answered.addCallback(self._handle_listing, identity, hold)
        answered.addErrback(self._handle_hold_failure, identity, hold)
        answered.addErrback(_log_hold_error)

    def _handle_listing(
        self,
        listing: RunListing,
        identity: WorkerIdentity,
        hold: HoldRequest,
    ) -> None:
        if not _is_same_life(self._identity, identity):
            return
        if listing.born_ms != identity.born_ms:
            # Another incarnation has the worker's name, and has not announced
            # itself yet. Its wall clock may have been set back.
            self._sender.close()
            if self._contact.take_over(listing.born_ms):
                self._send_hold(0)
            if hold.wait_ms:
                self._send_hold_later(identity, HOLD_RETRY_SECONDS)
            return
        self._sender.grants.record_clock(listing, self._clock.seconds())
        self._open_orders.settle_listed(listing)
        contact = self._contact
        if contact.record_list(identity.worker, hold.fence):
            # The hold had no lease; announcements may go on coming.
            self._send_hold(0)
        self._sender.follow_answer(is_held=hold.wait_ms > 0)
        if _is_newest(
            listing, hold.fence, self._listing, contact.listing_token
        ):
            self._listing = listing
            contact.listing_token = hold.fence
            self._sender.apply_listing(listing, hold.number)
        self._send_starts()
        if hold.wait_ms:
            self._continue_holding()
        self._send_report()

    def _continue_holding(self) -> None:
        if has_acknowledged_all(self._listing, self._acknowledged_end):
            self._send_next_hold()
        else:
            self._hold_delay.begin()

    def _send_next_hold(self) -> None:
        listing = self._listing
        self._send_hold(_choose_wait_ms(listing) if listing else HOLD_WAIT_MS)

    def _handle_hold_failure(
        self,
        failure: Failure,
        identity: WorkerIdentity,
        hold: HoldRequest,
    ) -> None:
        if not _is_same_life(self._identity, identity):
            return
        retry_seconds = self._contact.record_failure(identity.worker, failure)
        # The retry comes first: an error in what follows must not end it.
        if hold.wait_ms:
            self._send_hold_later(identity, retry_seconds)
        elif (
            hold.fence == self._contact.token.value
            and not self._contact.has_listed
        ):
            self._clock.callLater(HOLD_RETRY_SECONDS, self._send_hold, 0)
        self._sender.follow_hold_failure(
            failure, has_listed=self._contact.has_listed
        )
        if failure.check(OrderRefusedError) and not self._contact.has_listed:
            self._revoker.revoke(identity, self._contact.token.value)
        # A worker that refuses the fence knows a newer leader than this agent
        # does; the reply to a report tells the agent about it.
        if self._contact.is_report_due(self._clock.seconds()):
            self._send_report()

    def _handle_closed_port(self, identity: WorkerIdentity | None) -> None:
        """Report that nothing listens, once starts in flight are refused.

        Orders to an earlier life than the present one tell nothing about it.
        """
        if identity is None or not _is_same_life(self._identity, identity):
            return
        self._contact.record_closed_port()

        def report() -> None:
            self._is_closed_port_report_due = False
            self._send_report()

        if not self._is_closed_port_report_due:
            self._is_closed_port_report_due = True
            self._clock.callLater(CLOSED_PORT_REPORT_SECONDS, report)

    def _send_hold_later(
        self, identity: WorkerIdentity, seconds: float
    ) -> None:
        if (
            self._contact.is_connection_refused
            and self._open_orders.is_any_open()
        ):
            seconds = min(seconds, OPEN_ORDER_RETRY_SECONDS)

        def send_again() -> None:
            if _is_same_life(self._identity, identity):
                self._send_hold(PROBE_HOLD_WAIT_MS)

        self._clock.callLater(seconds, send_again)

    def _send_report(self) -> None:
        if self._is_reporting:
            self._is_report_due = True
            return
        identity = self._identity
        if self._is_closed or identity is None:
            return
        self._is_reporting = True
        self._is_report_due = False
        now = self._clock.seconds()
        sent_clock_ms = self._sender.grants.estimate_clock_ms(now)
        # A report that cannot be encoded must not be the last one.
        reply = maybeDeferred(
            self._calls.call,
            Method.worker_report,
            self._create_report(identity),
            WorkerOrders,
            REPORT_TIMEOUT_SECONDS,
        )
        reply.addCallback(
            self._handle_report_reply, identity, now, sent_clock_ms
        )
        reply.addErrback(_log_report_failure)
        reply.addBoth(self._finish_report)

    def _create_report(self, identity: WorkerIdentity) -> WorkerReport:
        listing = self._listing
        return WorkerReport(
            worker=identity.worker,
            born_ms=identity.born_ms,
            service_name=identity.service_name,
            data_centre=identity.data_centre,
            rack=identity.rack,
            labels=list(identity.labels),
            millicores=identity.millicores,
            memory_mb=identity.memory_mb,
            accelerators=identity.accelerators,
            leaving=identity.is_draining,
            sequence=identity.sequence,
            fence=self._contact.listing_fence(),
            listed=listing is not None and self._contact.is_listing_current,
            refuses=self._contact.is_connection_refused,
            running=listing.running if listing else [],
            ended=listing.ended if listing else [],
            truncated=listing is not None and listing.is_truncated,
            results=self._sender.table.list_results(),
            open_orders=self._open_orders.describe(),
            sends_receipts=True,
            agent_clock_ms=int(self._clock.seconds() * _MS),
            followed_fence=self._contact.token.fence,
            is_unresponsive=self._sender.answers.is_unresponsive(),
        )

    def _handle_report_reply(
        self,
        orders: WorkerOrders,
        identity: WorkerIdentity,
        sent_at: float,
        sent_clock_ms: int,
    ) -> None:
        elapsed_seconds = self._clock.seconds() - sent_at
        exposition.report_seconds.observe(elapsed_seconds)
        current = self._identity
        if current is identity:
            self._is_service_unknown = orders.is_service_unknown
        if (
            current is not None
            and current.life == identity.life
            and orders.fence >= self._contact.token.fence
            and orders.lease_ms
        ):
            grants = self._sender.grants
            grants.extend(sent_clock_ms, orders.lease_ms)
            if not identity.has_more_than(current):
                grants.allow_starts(sent_at)
        self.apply_orders(orders)

    def _finish_report(self, nothing: Any) -> None:
        self._is_reporting = False
        if self._is_report_due:
            self._send_report()


def _choose_wait_ms(listing: RunListing) -> int:
    """Poll more often while several tasks may slow each other down."""
    return SHARED_HOLD_WAIT_MS if len(listing.running) > 1 else HOLD_WAIT_MS


def _is_newest(
    listing: RunListing,
    fence: int,
    known: RunListing | None,
    known_fence: int,
) -> bool:
    """Return whether no newer listing than ``listing`` is known."""
    if known is None or fence > known_fence:
        return True
    return fence == known_fence and listing.clock_ms >= known.clock_ms


def _is_same_life(known: WorkerIdentity | None, other: WorkerIdentity) -> bool:
    return known is not None and known.life == other.life


def _log_report_failure(failure: Failure) -> None:
    _log.event('report to leader failed', error=str(failure.value))


def _log_hold_error(failure: Failure) -> None:
    _log.event('processing of a hold failed', error=repr(failure.value))
