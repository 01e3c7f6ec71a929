"""Stand-in for a worker that runs tasks of queued jobs, on a test's clock.

It simulates what workers of the users' platform do: a lease on the worker's own
clock, fencing tokens, run numbers, ended runs that are listed until they are
acknowledged, crashes and new incarnations. Orders can be executed late, lost or
left without a response.
"""

import enum
from collections.abc import Callable
from typing import Any, final

import attrs
from twisted.internet.defer import Deferred

from wasabiturn.exceptions import PlatformError
from wasabiturn.messages.batch import (
    EndedRow,
    PaceOrder,
    RunningRow,
    StartOrder,
    StopOrder,
)
from wasabiturn.messages.kinds import RunEnding
from wasabiturn.process.agent.runs.port import (
    HoldRequest,
    OrderRefusedError,
    OtherIncarnationError,
    RunListing,
    WorkerIdentity,
    WorkerNotListeningError,
)

LATENCY_SECONDS = 0.001
TIMEOUT_SECONDS = 0.6
# How long a run takes to stop.
STOP_SECONDS = 0.2
MAX_LEASE_MS = 6000
_MS_PER_SECOND = 1000
_FULL_PERCENT = 100


@final
class Fault(enum.Enum):
    """Fault that is injected into one order."""

    none = 'none'
    answer_lost = 'executed, but the response is lost'
    late = 'executed late, without a response'
    dropped = 'never executed, without a response'
    refused = 'rejected without being executed'


@final
@attrs.define
class SimulatedWork:
    """Duration of a simulated run, and how it ends.

    A run that crashes its worker does so ``crash_after_seconds`` after its
    start.
    """

    seconds: float
    ending: RunEnding = RunEnding.done
    crash_after_seconds: float | None = None


@final
@attrs.define
class StandInBatchRun:
    """One active run; ``pace`` is its speed in percent."""

    task: str
    run: int
    started_at: float
    work: SimulatedWork
    pace: int = _FULL_PERCENT
    timer: Any = None


@final
@attrs.define
class _PendingHold:
    """Call of ``hold`` that waits for a run to end or for its timeout."""

    reply: Deferred[RunListing]
    timer: Any


@final
class StandInBatchWorker:
    """One worker; ``start_incarnation`` restarts it."""

    def __init__(
        self,
        clock: Any,
        identity: WorkerIdentity,
        choose_work: Callable[[StartOrder], SimulatedWork],
        choose_fault: Callable[[], Fault],
        clock_rate: float = 1.0,
    ) -> None:
        """Create a worker that is up.

        ``choose_work`` returns the simulated work of a run to be started, and
        ``choose_fault`` the fault of the next order. ``clock_rate`` is the
        speed of the worker's own clock relative to ``clock``.
        """
        self.identity = identity
        self.late_delay_seconds = 5.0
        # How long an order without a fault takes.
        self.order_delay_seconds = LATENCY_SECONDS
        # How long it takes to answer an order after it was carried out.
        self.answer_delay_seconds = 0.0
        # Faults of the next orders, before any that is chosen.
        self.next_faults: list[Fault] = []
        # It answers holds with an error, but carries orders out.
        self.refuses_holds = False
        # A late order reaches a new incarnation under the same name.
        self.keeps_late_orders = False
        self.is_up = True
        self.on_begin: list[Callable[[str, int], None]] = []
        self.on_end: list[Callable[[str, int, RunEnding], None]] = []
        # Called with the task and the run that crash the worker.
        self.on_task_crash: list[Callable[[str, int], None]] = []
        # Called with an acknowledged end and the time of the end.
        self.on_acknowledged: list[Callable[[EndedRow, float], None]] = []
        self.runs_by_task: dict[str, StandInBatchRun] = {}
        self.fence = 0
        self._is_silent = False
        self._clock = clock
        self._clock_rate = clock_rate
        self._choose_work = choose_work
        self._choose_fault = choose_fault
        self._reset_incarnation()

    def crash(self) -> None:
        """End this incarnation; its runs are lost and no longer listed."""
        for run in self.runs_by_task.values():
            run.timer.cancel()
        for run in list(self.runs_by_task.values()):
            self._notify_end(run, RunEnding.lost)
        self.runs_by_task.clear()
        self.is_up = False
        for pending in self._pending_holds:
            pending.timer.cancel()
            pending.reply.errback(PlatformError('worker crashed'))
        self._pending_holds.clear()

    def fall_silent(self) -> None:
        """Answer no new call any more, and carry no order out."""
        self._is_silent = True

    def answer_again(self) -> None:
        """End a silence."""
        self._is_silent = False

    def break_run(self, run: StandInBatchRun) -> None:
        """End an active run, as another member of its gang was lost."""
        run.timer.cancel()
        self._end(run, RunEnding.broken)

    def start_incarnation(
        self, name: str = '', wall_clock_seconds: float = 0
    ) -> None:
        """Start a new incarnation, crashing the present one if it is up.

        It keeps the name of the worker unless ``name`` is given.
        ``wall_clock_seconds`` is by how much its wall clock was set forward.
        """
        if self.is_up:
            self.crash()
        self.is_up = True
        self.fence = 0
        self.identity = attrs.evolve(
            self.identity,
            worker=name or self.identity.worker,
            born_ms=int(
                (self._clock.seconds() + wall_clock_seconds) * _MS_PER_SECOND
            )
            + 1,
            is_draining=False,
            sequence=0,
        )
        self._reset_incarnation()

    def change_capacity(self, **sizes: Any) -> None:
        """Shrink or grow; the next announcement says so.

        ``sizes`` are fields of the identity. What runs goes on, and no start
        is refused for want of room.
        """
        self.identity = attrs.evolve(self.identity, **sizes)

    def hold(
        self, identity: WorkerIdentity, hold: HoldRequest
    ) -> Deferred[RunListing]:
        """Renew the lease and list the runs; see ``WorkerPort``."""
        reply: Deferred[RunListing] = Deferred()
        if self._is_silent:
            seconds = TIMEOUT_SECONDS + hold.wait_ms / _MS_PER_SECOND
            self._leave_unanswered(reply, seconds)
            return reply
        self._clock.callLater(
            LATENCY_SECONDS,
            self._handle_hold,
            identity,
            hold,
            reply,
        )
        return reply

    def start(
        self,
        identity: WorkerIdentity,
        order: StartOrder,
        fence: int,
        lease_until_ms: int,
    ) -> Deferred[int]:
        """Start a run; see ``WorkerPort``."""
        started = self._schedule_order(
            identity,
            lambda: self._start(order, fence, lease_until_ms),
        )
        return started.addCallback(lambda _: self.clock_ms())

    def stop(
        self,
        identity: WorkerIdentity,
        order: StopOrder,
        fence: int,
    ) -> Deferred[None]:
        """Stop a run; see ``WorkerPort``."""
        return self._schedule_order(identity, lambda: self._stop(order, fence))

    def pace(
        self,
        identity: WorkerIdentity,
        order: PaceOrder,
        fence: int,
    ) -> Deferred[None]:
        """Limit a run to a share of full speed; see ``WorkerPort``."""
        return self._schedule_order(identity, lambda: self._pace(order, fence))

    def clock_ms(self) -> int:
        """Return the time on the worker's own clock in milliseconds."""
        elapsed = (self._clock.seconds() - self._started_at) * self._clock_rate
        return int(elapsed * _MS_PER_SECOND)

    def _reset_incarnation(self) -> None:
        self._started_at = self._clock.seconds()
        self._lease_until_ms = 0
        self._lease_timer: Any = None
        self._next_end_number = 1
        self._ended: list[EndedRow] = []
        # When each listed run ended; cleared when the lease expires.
        self._ended_at: dict[int, float] = {}
        # Runs up to this number are no longer started.
        self._max_refused_run_by_task: dict[str, int] = {}
        self._pending_holds: list[_PendingHold] = []

    def _schedule_order(
        self,
        identity: WorkerIdentity,
        execute: Callable[[], None],
    ) -> Deferred[None]:
        reply: Deferred[None] = Deferred()
        fault = (
            self.next_faults.pop(0)
            if self.next_faults
            else self._choose_fault()
        )
        if self._is_silent:
            fault = Fault.dropped
        delay = self.order_delay_seconds
        if fault is Fault.late:
            delay = self.late_delay_seconds
        self._clock.callLater(
            delay,
            self._execute,
            identity,
            execute,
            reply,
            fault,
            self._started_at,
        )
        if fault not in {Fault.none, Fault.refused}:
            error = PlatformError('no answer')
            self._clock.callLater(TIMEOUT_SECONDS, reply.errback, error)
        return reply

    def _execute(
        self,
        identity: WorkerIdentity,
        execute: Callable[[], None],
        reply: Deferred[None],
        fault: Fault,
        worker_started_at: float,
    ) -> None:
        if fault is Fault.dropped:
            return
        if fault is Fault.refused:
            reply.errback(OrderRefusedError('status 503'))
            return
        is_outlived = worker_started_at != self._started_at
        if fault is Fault.late and is_outlived and not self.keeps_late_orders:
            return
        error = self._find_connection_error(identity)
        if error is None:
            try:
                execute()
            except PlatformError as refused:
                error = refused
        if fault is not Fault.none:
            return
        self._clock.callLater(
            self.answer_delay_seconds, self._answer, reply, error
        )

    def _answer(
        self, reply: Deferred[None], error: PlatformError | None
    ) -> None:
        if error is None:
            reply.callback(None)
        else:
            reply.errback(error)

    def _find_connection_error(
        self,
        identity: WorkerIdentity,
    ) -> PlatformError | None:
        if not self.is_up:
            return WorkerNotListeningError('nothing listens at the worker')
        if identity.worker != self.identity.worker:
            return OtherIncarnationError('another worker responded')
        return None

    def _check_fence(self, fence: int) -> None:
        if fence < self.fence:
            raise OrderRefusedError('fence')
        self.fence = fence

    def _start(
        self,
        order: StartOrder,
        fence: int,
        lease_until_ms: int,
    ) -> None:
        self._check_fence(fence)
        present = self.runs_by_task.get(order.task)
        if present is not None and present.run == order.run:
            return
        if order.run <= self._max_refused_run_by_task.get(order.task, 0):
            raise OrderRefusedError('old')
        self._extend_lease(lease_until_ms)
        if self._lease_until_ms <= self.clock_ms():
            raise OrderRefusedError('late')
        work = self._choose_work(order)
        run = StandInBatchRun(
            task=order.task,
            run=order.run,
            started_at=self._clock.seconds(),
            work=work,
        )
        run.timer = self._clock.callLater(
            work.seconds,
            self._end,
            run,
            work.ending,
        )
        self.runs_by_task[order.task] = run
        if work.crash_after_seconds is not None:
            self._clock.callLater(
                work.crash_after_seconds, self._crash_by_task, run
            )
        for callback in self.on_begin:
            callback(run.task, run.run)

    def _crash_by_task(self, run: StandInBatchRun) -> None:
        if self.runs_by_task.get(run.task) is not run:
            return
        for callback in self.on_task_crash:
            callback(run.task, run.run)
        self.crash()

    def _stop(self, order: StopOrder, fence: int) -> None:
        self._check_fence(fence)
        max_refused_run = self._max_refused_run_by_task.get(order.task, 0)
        self._max_refused_run_by_task[order.task] = max(
            max_refused_run,
            order.run,
        )
        run = self.runs_by_task.get(order.task)
        if run is not None and run.run == order.run:
            run.timer.cancel()
            run.timer = self._clock.callLater(
                STOP_SECONDS,
                self._end,
                run,
                RunEnding.stopped,
            )

    def _pace(self, order: PaceOrder, fence: int) -> None:
        self._check_fence(fence)
        run = self.runs_by_task.get(order.task)
        if run is not None and run.run == order.run:
            run.pace = order.percent

    def _handle_hold(
        self,
        identity: WorkerIdentity,
        hold: HoldRequest,
        reply: Deferred[RunListing],
    ) -> None:
        error = self._find_connection_error(identity)
        if error is None and hold.fence < self.fence:
            error = OrderRefusedError('fence')
        if error is None and self.refuses_holds:
            error = OrderRefusedError('status 503')
        if error is not None:
            reply.errback(error)
            return
        self.fence = hold.fence
        self._extend_lease(hold.lease_until_ms)
        self._drop_acknowledged_ends(hold.acknowledged)
        if self._ended or not hold.wait_ms:
            reply.callback(self._create_listing())
            return
        pending = _PendingHold(reply=reply, timer=None)
        pending.timer = self._clock.callLater(
            hold.wait_ms / _MS_PER_SECOND,
            self._answer_hold,
            pending,
        )
        self._pending_holds.append(pending)

    def _drop_acknowledged_ends(self, acknowledged: int) -> None:
        """Drop acknowledged ends from the listing.

        Calls ``on_acknowledged`` for each one since which no lease has expired.
        """
        forgotten = [row for row in self._ended if row.number <= acknowledged]
        self._ended = self._ended[len(forgotten) :]
        for row in forgotten:
            ended_at = self._ended_at.pop(row.number, None)
            if ended_at is not None:
                for callback in self.on_acknowledged:
                    callback(row, ended_at)

    def _answer_hold(self, pending: _PendingHold) -> None:
        self._pending_holds.remove(pending)
        pending.reply.callback(self._create_listing())

    def _leave_unanswered(
        self, reply: Deferred[RunListing], seconds: float
    ) -> None:
        error = PlatformError('no answer')
        self._clock.callLater(seconds, reply.errback, error)

    def _create_listing(self) -> RunListing:
        now = self._clock.seconds()
        return RunListing(
            born_ms=self.identity.born_ms,
            clock_ms=self.clock_ms(),
            running=[
                RunningRow(
                    task=run.task,
                    run=run.run,
                    percent=_compute_progress_percent(run, now),
                )
                for run in self.runs_by_task.values()
            ],
            ended=list(self._ended),
        )

    def _extend_lease(self, until_ms: int) -> None:
        latest = self.clock_ms() + MAX_LEASE_MS
        until_ms = min(until_ms, latest)
        if until_ms <= self._lease_until_ms:
            return
        self._lease_until_ms = until_ms
        if self._lease_timer is not None and self._lease_timer.active():
            self._lease_timer.cancel()
        seconds = (
            (until_ms - self.clock_ms()) / _MS_PER_SECOND / self._clock_rate
        )
        self._lease_timer = self._clock.callLater(
            max(seconds, 0),
            self._expire_lease,
            self._started_at,
        )

    def _expire_lease(self, worker_started_at: float) -> None:
        if worker_started_at != self._started_at:
            return
        self._ended_at.clear()
        for run in list(self.runs_by_task.values()):
            run.timer.cancel()
            self._end(run, RunEnding.lapsed)

    def _end(self, run: StandInBatchRun, ending: RunEnding) -> None:
        self.runs_by_task.pop(run.task, None)
        max_refused_run = self._max_refused_run_by_task.get(run.task, 0)
        self._max_refused_run_by_task[run.task] = max(max_refused_run, run.run)
        row = EndedRow(
            number=self._next_end_number,
            task=run.task,
            run=run.run,
            ending=ending,
        )
        self._ended.append(row)
        self._ended_at[row.number] = self._clock.seconds()
        self._next_end_number += 1
        self._notify_end(run, ending)
        for pending in list(self._pending_holds):
            pending.timer.cancel()
            self._answer_hold(pending)

    def _notify_end(self, run: StandInBatchRun, ending: RunEnding) -> None:
        for callback in self.on_end:
            callback(run.task, run.run, ending)


def _compute_progress_percent(run: StandInBatchRun, now: float) -> int:
    if run.work.seconds <= 0:
        return _FULL_PERCENT
    share = (now - run.started_at) / run.work.seconds
    return min(int(share * _FULL_PERCENT), _FULL_PERCENT)
