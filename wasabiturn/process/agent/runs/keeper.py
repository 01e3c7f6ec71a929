"""Keeps the runs of one worker in line with what the leader wants.

A hold waits at the worker at all times: it renews the lease of all runs, and
its answer lists what runs and what has ended. Each answer is reported to the
leader, whose reply carries orders and the next grant.
"""

from typing import Any, final

from twisted.internet.defer import Deferred, DeferredSemaphore
from twisted.python.failure import Failure

from wasabiturn.messages.batch import (
    PaceOrder,
    StopOrder,
    WorkerOrders,
    WorkerReport,
)
from wasabiturn.messages.kinds import Method, StartOutcome
from wasabiturn.process.agent.runs.lease import Grants
from wasabiturn.process.agent.runs.port import (
    Hold,
    Listing,
    NothingListensError,
    OrderRefusedError,
    OtherLifeError,
    WorkerIdentity,
    WorkerPort,
)
from wasabiturn.process.agent.runs.starts import Start, StartTable
from wasabiturn.process.leader_calls import LeaderCalls
from wasabiturn.utils.logs import create_part_log

HOLD_WAIT_MS = 400
HOLD_RETRY_SECONDS = 0.2
REPORT_SECONDS = 1.0
START_RETRY_SECONDS = 0.2
# Orders under way at once; each takes a connection to the worker.
PARALLEL_ORDERS = 3

_log = create_part_log('runs')


@final
class RunKeeper:
    """Keeps the runs of the worker beside this agent."""

    def __init__(
        self, port: WorkerPort, calls: LeaderCalls, clock: Any
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
        self._sent_holds = 0
        self._orders = DeferredSemaphore(PARALLEL_ORDERS)
        self._begin_life()

    def _begin_life(self) -> None:
        self._grants = Grants()
        self._table = StartTable()
        self._listing: Listing | None = None
        self._listing_fence = -1
        self._acknowledged = 0
        self._stopping: set[tuple[str, int]] = set()

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
            self._begin_life()
            self._hold(HOLD_WAIT_MS)
        elif known.is_leaving != identity.is_leaving:
            _log.event('worker leaves', worker=identity.worker)
            self._report()

    def close(self) -> None:
        """Hold no longer; runs go on until their lease ends."""
        self._is_closed = True

    def take_orders(self, orders: WorkerOrders) -> None:
        """Carry out what the leader wants, unless it is out of date."""
        identity = self._identity
        if identity is None or identity.life != (orders.worker, orders.born_ms):
            return
        if orders.fence < self._fence:
            return
        if orders.fence > self._fence:
            self._follow(orders.fence)
        self._acknowledged = max(self._acknowledged, orders.acknowledged)
        self._table.add(orders.starts, orders.fence)
        if orders.complete:
            still = {(order.task, order.run) for order in orders.starts}
            self._table.forget_settled(still)
        for stop in orders.stops:
            self._stop(identity, stop)
        for pace in orders.paces:
            self._pace(identity, pace)
        self._send_starts()

    def _now(self) -> float:
        return float(self._clock.seconds())

    def _follow(self, fence: int) -> None:
        _log.event('follows leader', fence=fence, before=self._fence)
        self._fence = fence
        self._acknowledged = 0
        self._table.drop_unsent(fence)
        self._hold(0)

    def _hold(self, wait_ms: int) -> None:
        identity = self._identity
        if self._is_closed or identity is None:
            return
        self._sent_holds += 1
        hold = Hold(
            fence=self._fence,
            acknowledged=self._acknowledged,
            lease_until_ms=self._grants.lease_until_ms,
            wait_ms=wait_ms,
        )
        held = self._port.hold(identity, hold)
        number = self._sent_holds
        held.addCallback(self._take_listing, identity, hold, number)
        held.addErrback(self._miss_listing, identity, wait_ms)
        held.addErrback(_log_failure)

    def _take_listing(
        self,
        listing: Listing,
        identity: WorkerIdentity,
        hold: Hold,
        number: int,
    ) -> None:
        if not self._is_current(identity):
            return
        if listing.born_ms > identity.born_ms:
            # The worker has begun another life under the same name.
            self._clock.callLater(
                HOLD_RETRY_SECONDS, self._hold_again, identity
            )
            return
        self._grants.read_clock(listing, self._now())
        self._refuses = False
        if self._is_newest(listing, hold.fence):
            self._listing = listing
            self._listing_fence = hold.fence
            self._table.settle_stops(listing, number)
        if hold.wait_ms:
            self._hold(HOLD_WAIT_MS)
        self._report()

    def _is_newest(self, listing: Listing, fence: int) -> bool:
        """Tell whether no later listing overtook this one."""
        known = self._listing
        if known is None or fence > self._listing_fence:
            return True
        return fence == self._listing_fence and (
            listing.clock_ms >= known.clock_ms
        )

    def _miss_listing(
        self,
        failure: Failure,
        identity: WorkerIdentity,
        wait_ms: int,
    ) -> None:
        if not self._is_current(identity):
            return
        error = failure.value
        _log.event('hold failed', worker=identity.worker, error=str(error))
        refuses = isinstance(error, NothingListensError)
        if refuses and not self._refuses:
            self._refuses = True
            self._report()
        if wait_ms or not isinstance(error, OtherLifeError):
            self._clock.callLater(
                HOLD_RETRY_SECONDS,
                self._hold_again,
                identity,
            )

    def _hold_again(self, identity: WorkerIdentity) -> None:
        if self._is_current(identity):
            self._hold(HOLD_WAIT_MS)

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
        now = self._now()
        asked = self._calls.call(
            Method.worker_report,
            self._create_report(identity),
            WorkerOrders,
            REPORT_SECONDS,
        )
        asked_ms = self._grants.estimate_clock_ms(now)
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
            leaving=identity.is_leaving,
            fence=self._listing_fence,
            listed=listing is not None and not self._refuses,
            refuses=self._refuses,
            running=listing.running if listing else [],
            ended=listing.ended if listing else [],
            results=self._table.list_results(),
        )

    def _take_reply(
        self,
        orders: WorkerOrders,
        identity: WorkerIdentity,
        asked_at: float,
        asked_ms: int,
    ) -> None:
        if self._is_current(identity) and orders.fence >= self._fence:
            self._grants.extend(asked_at, asked_ms, orders.lease_ms)
        self.take_orders(orders)

    def _end_report(self, nothing: Any) -> None:
        self._is_reporting = False
        if self._is_dirty:
            self._report()

    def _send_starts(self) -> None:
        identity = self._identity
        if identity is None or self._listing_fence != self._fence:
            return
        for start in self._table.list_unsent():
            if identity.is_leaving:
                self._refuse(start, 'the worker leaves')
            elif self._grants.may_start(self._now()):
                start.is_sent = True
                self._orders.run(self._send_start, identity, start)

    def _send_start(
        self,
        identity: WorkerIdentity,
        start: Start,
    ) -> Deferred[None]:
        sent = self._port.start(
            identity,
            start.order,
            start.fence,
            self._grants.lease_until_ms,
        )
        sent.addCallbacks(
            self._note_started,
            self._note_not_started,
            (start,),
            {},
            (start,),
        )
        return sent

    def _note_started(self, nothing: None, start: Start) -> None:
        start.outcome = StartOutcome.started

    def _note_not_started(self, failure: Failure, start: Start) -> None:
        error = failure.value
        if isinstance(error, OrderRefusedError):
            self._take_refusal(start, error.reason)
        elif isinstance(error, OtherLifeError):
            self._refuse(start, 'the worker has another life')
        else:
            _log.event(
                'start not answered',
                task=start.order.task,
                run=start.order.run,
                error=str(error),
            )
            self._clock.callLater(START_RETRY_SECONDS, self._resend, start)

    def _take_refusal(self, start: Start, reason: str) -> None:
        if reason == 'old':
            # The run has ended already; its end is or was listed.
            start.outcome = StartOutcome.started
        elif reason == 'late':
            self._clock.callLater(START_RETRY_SECONDS, self._resend, start)
        else:
            self._refuse(start, reason)

    def _resend(self, start: Start) -> None:
        start.is_sent = False
        self._send_starts()

    def _refuse(self, start: Start, reason: str) -> None:
        _log.decision(
            'start refused',
            task=start.order.task,
            run=start.order.run,
            reason=reason,
        )
        start.outcome = StartOutcome.refused
        start.reason = reason
        self._report()

    def _stop(self, identity: WorkerIdentity, order: StopOrder) -> None:
        key = (order.task, order.run)
        if key in self._stopping or key in self._table.confirmed_stops:
            return
        self._stopping.add(key)
        self._table.starts_by_run.pop(key, None)
        _log.decision('stops', task=order.task, run=order.run)
        sent = self._orders.run(self._port.stop, identity, order, self._fence)
        sent.addCallback(self._note_stopped, key)
        sent.addErrback(_log_failure)
        sent.addBoth(lambda _: self._stopping.discard(key))

    def _note_stopped(self, nothing: None, key: tuple[str, int]) -> None:
        self._table.confirmed_stops[key] = self._sent_holds

    def _pace(self, identity: WorkerIdentity, order: PaceOrder) -> None:
        sent = self._orders.run(self._port.pace, identity, order, self._fence)
        sent.addErrback(_log_failure)


def _is_newer(known: WorkerIdentity, identity: WorkerIdentity) -> bool:
    if known.life == identity.life:
        return identity.sequence > known.sequence
    return identity.born_ms >= known.born_ms


def _log_report(failure: Failure) -> None:
    _log.event('report not answered', error=str(failure.value))


def _log_failure(failure: Failure) -> None:
    _log.event('order failed', error=str(failure.value))
