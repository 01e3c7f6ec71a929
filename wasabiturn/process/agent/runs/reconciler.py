"""Keeps the runs of one worker in line with what the leader wants.

A hold waits at the worker at all times: it renews the lease of all runs, and
its answer lists what runs and what has ended. Each answer is reported to the
leader, whose reply carries orders and the next grant.
"""

from typing import Any, final

from twisted.python.failure import Failure

from wasabiturn.messages.batch import WorkerOrders, WorkerReport
from wasabiturn.messages.kinds import Method
from wasabiturn.process import exposition
from wasabiturn.process.agent.runs.port import (
    HoldRequest,
    RunListing,
    WorkerIdentity,
    WorkerNotListeningError,
    WorkerPort,
)
from wasabiturn.process.agent.runs.sender import OrderSender
from wasabiturn.process.leader_calls import LeaderCalls
from wasabiturn.utils.logs import create_part_log

# How long a hold waits for an end; figures of sharing tasks age by it.
HOLD_WAIT_MS = 1000
# The first list of a life is wanted at once.
FIRST_WAIT_MS = 50
SHARING_WAIT_MS = 500
HOLD_RETRY_SECONDS = 0.2
REPORT_SECONDS = 1.0
NO_FENCE = -1

_log = create_part_log('runs')


@final
class RunReconciler:
    """Keeps the runs of the worker beside this agent."""

    def __init__(
        self,
        port: WorkerPort,
        calls: LeaderCalls,
        clock: Any,
    ) -> None:
        """Create the keeper; it begins with the worker's announcement."""
        self._port = port
        self._calls = calls
        self._clock = clock
        self._fence = 0
        self._identity: WorkerIdentity | None = None
        self._is_closed = False
        self._is_reporting = False
        self._is_dirty = False
        self._refuses = False
        self._is_listed = False
        self._sent_holds = 0
        self._acknowledged = 0
        self._listing: RunListing | None = None
        self._listing_fence = NO_FENCE
        self._sender = self._create_sender(('', 0))

    def announce(self, identity: WorkerIdentity) -> None:
        """Take what the worker says of itself; older lives are ignored."""
        known = self._identity
        if known is not None and not _is_newer(known, identity):
            return
        self._identity = identity
        if known is None or known.life != identity.life:
            _log.event(
                'worker announced',
                worker=identity.worker,
                born_ms=identity.born_ms,
            )
            self._begin_life(identity.life)
            self._hold(FIRST_WAIT_MS)
        elif known.is_draining != identity.is_draining:
            _log.event('worker leaves', worker=identity.worker)
            self._report()

    def close(self) -> None:
        """Hold no longer; runs go on until their lease ends."""
        self._is_closed = True

    def apply_orders(self, orders: WorkerOrders) -> None:
        """Carry out what the leader wants, unless it is out of date."""
        identity = self._identity
        if identity is None or orders.fence < self._fence:
            return
        if identity.life != (orders.worker, orders.born_ms):
            return
        if orders.fence > self._fence:
            self._follow(orders.fence)
        self._acknowledged = max(self._acknowledged, orders.acknowledged)
        self._sender.take(identity, orders)
        self._send_starts()

    def _begin_life(self, life: tuple[str, int]) -> None:
        self._listing = None
        self._listing_fence = NO_FENCE
        self._is_listed = False
        self._refuses = False
        self._acknowledged = 0
        self._sender = self._create_sender(life)
        self._sender.follow(self._fence)

    def _create_sender(self, life: tuple[str, int]) -> OrderSender:
        return OrderSender(
            port=self._port,
            clock=self._clock,
            life=life,
            on_refusal=self._report,
            on_stopped=lambda: self._hold(0),
        )

    def _follow(self, fence: int) -> None:
        _log.event('follows leader', fence=fence, before=self._fence)
        self._fence = fence
        self._acknowledged = 0
        self._sender.follow(fence)
        self._hold(0)

    def _send_starts(self) -> None:
        """Send starts once the worker has listed its runs under the fence."""
        if self._listing_fence == self._fence:
            self._sender.send_starts()

    def _hold(self, wait_ms: int) -> None:
        identity = self._identity
        if self._is_closed or identity is None:
            return
        self._sent_holds += 1
        self._sender.note_holds(self._sent_holds)
        hold = HoldRequest(
            fence=self._fence,
            # Another life may answer after a miss; its ends are not stored.
            acknowledged=self._acknowledged if self._is_listed else 0,
            lease_until_ms=self._sender.grants.lease_until_ms,
            wait_ms=wait_ms,
            number=self._sent_holds,
        )
        held = self._port.hold(identity, hold)
        held.addCallback(self._take_listing, identity, hold)
        held.addErrback(self._miss_listing, identity, hold)
        held.addErrback(_log_failure)

    def _take_listing(
        self,
        listing: RunListing,
        identity: WorkerIdentity,
        hold: HoldRequest,
    ) -> None:
        if not self._is_current(identity):
            return
        if listing.born_ms > identity.born_ms:
            # Another life under this name has yet to announce itself.
            self._is_listed = False
            self._sender.suspend()
            self._hold_later(identity)
            return
        self._sender.grants.read_clock(listing, self._clock.seconds())
        self._refuses = False
        self._is_listed = True
        if self._is_newest(listing, hold.fence):
            self._listing = listing
            self._listing_fence = hold.fence
            self._sender.take_listing(listing, hold.number)
        if hold.wait_ms:
            self._hold(_wait_ms(listing))
        self._report()

    def _is_newest(self, listing: RunListing, fence: int) -> bool:
        """Tell whether no later listing overtook this one."""
        known = self._listing
        if known is None or fence > self._listing_fence:
            return True
        is_later = listing.clock_ms >= known.clock_ms
        return fence == self._listing_fence and is_later

    def _miss_listing(
        self,
        failure: Failure,
        identity: WorkerIdentity,
        hold: HoldRequest,
    ) -> None:
        if not self._is_current(identity):
            return
        error = failure.value
        _log.event('hold failed', worker=identity.worker, error=str(error))
        self._is_listed = False
        self._refuses = isinstance(error, WorkerNotListeningError)
        # A worker that refuses the fence has met a leader that this agent has
        # not: the reply to a report tells of it.
        self._report()
        if hold.wait_ms:
            self._hold_later(identity)
        elif hold.fence == self._fence and self._listing_fence != self._fence:
            self._clock.callLater(HOLD_RETRY_SECONDS, self._hold, 0)

    def _hold_later(self, identity: WorkerIdentity) -> None:
        def hold_again() -> None:
            if self._is_current(identity):
                self._hold(HOLD_WAIT_MS)

        self._clock.callLater(HOLD_RETRY_SECONDS, hold_again)

    def _is_current(self, identity: WorkerIdentity) -> bool:
        known = self._identity
        return known is not None and known.life == identity.life

    def _report(self) -> None:
        if self._is_reporting:
            self._is_dirty = True
            return
        identity = self._identity
        if self._is_closed or identity is None:
            return
        self._is_reporting = True
        self._is_dirty = False
        now = self._clock.seconds()
        asked_ms = self._sender.grants.estimate_clock_ms(now)
        asked = self._calls.call(
            Method.worker_report,
            self._create_report(identity),
            WorkerOrders,
            REPORT_SECONDS,
        )
        asked.addCallback(self._take_reply, identity, now, asked_ms)
        asked.addErrback(_log_report)
        asked.addBoth(self._end_report)

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
            fence=self._listing_fence,
            listed=listing is not None and self._is_listed,
            refuses=self._refuses,
            running=listing.running if listing else [],
            ended=listing.ended if listing else [],
            results=self._sender.table.list_results(),
        )

    def _take_reply(
        self,
        orders: WorkerOrders,
        identity: WorkerIdentity,
        asked_at: float,
        asked_ms: int,
    ) -> None:
        passed = self._clock.seconds() - asked_at
        exposition.report_seconds.observe(passed)
        if self._is_current(identity) and orders.fence >= self._fence:
            grants = self._sender.grants
            grants.extend(asked_at, asked_ms, orders.lease_ms)
        self.apply_orders(orders)

    def _end_report(self, nothing: Any) -> None:
        self._is_reporting = False
        if self._is_dirty:
            self._report()


def _wait_ms(listing: RunListing) -> int:
    """Look more often where tasks may disturb each other."""
    return SHARING_WAIT_MS if len(listing.running) > 1 else HOLD_WAIT_MS


def _is_newer(known: WorkerIdentity, identity: WorkerIdentity) -> bool:
    if known.life == identity.life:
        return identity.sequence > known.sequence
    return identity.born_ms >= known.born_ms


def _log_report(failure: Failure) -> None:
    _log.event('report not answered', error=str(failure.value))


def _log_failure(failure: Failure) -> None:
    _log.event('hold failed', error=repr(failure.value))
