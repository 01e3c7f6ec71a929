"""Stand-in of a worker that runs tasks of queues' jobs, on a test's clock.

It behaves as workers of the users' platform do: leases on its own clock,
fences, run numbers, ends that are listed until they are acknowledged, lives
that end, and orders that are carried out late or without an answer.
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
MAX_LEASE_MS = 6000
_MS = 1000
_FULL_PERCENT = 100


@final
class Fault(enum.Enum):
    """What happens to one order."""

    none = 'none'
    answer_lost = 'answer lost'
    late = 'carried out late, without an answer'
    dropped = 'never carried out, without an answer'
    refused = 'never carried out, and said so'


@final
@attrs.define
class Work:
    """How long a task takes, and how it ends."""

    seconds: float
    ending: RunEnding = RunEnding.done


@final
@attrs.define
class StandInRun:
    """One run on the stand-in."""

    task: str
    run: int
    started_at: float
    work: Work
    pace: int = _FULL_PERCENT
    timer: Any = None


@final
@attrs.define
class _Waiting:
    answered: Deferred[RunListing]
    timer: Any


@final
class StandInBatchWorker:
    """One worker; ``reborn`` gives it another life."""

    def __init__(
        self,
        clock: Any,
        identity: WorkerIdentity,
        work_of: Callable[[StartOrder], Work],
        fault_of: Callable[[], Fault],
        clock_rate: float = 1.0,
    ) -> None:
        """Create a worker; ``clock_rate`` is the speed of its own clock."""
        self.identity = identity
        self.late_seconds = 5.0
        self.stop_seconds = 0.2
        self.is_up = True
        self.on_begin: list[Callable[[str, int], None]] = []
        self.on_end: list[Callable[[str, int, RunEnding], None]] = []
        self.on_acknowledged: list[Callable[[EndedRow, float], None]] = []
        self.runs_by_task: dict[str, StandInRun] = {}
        self.fence = 0
        self._clock = clock
        self._clock_rate = clock_rate
        self._work_of = work_of
        self._fault_of = fault_of
        self._begin_life()

    def crash(self) -> None:
        """End this life; nothing is listed of it any more."""
        for run in self.runs_by_task.values():
            run.timer.cancel()
        for run in list(self.runs_by_task.values()):
            self._tell_end(run, RunEnding.lost)
        self.runs_by_task.clear()
        self.is_up = False
        for waiting in self._waiting:
            waiting.timer.cancel()
            waiting.answered.errback(PlatformError('the worker crashed'))
        self._waiting.clear()

    def reborn(self, name: str = '') -> None:
        """Begin another life, under the same name unless one is given."""
        if self.is_up:
            self.crash()
        self.is_up = True
        self.fence = 0
        self.identity = attrs.evolve(
            self.identity,
            worker=name or self.identity.worker,
            born_ms=int(self._clock.seconds() * _MS) + 1,
            sequence=0,
        )
        self._begin_life()

    def hold(
        self, identity: WorkerIdentity, hold: HoldRequest
    ) -> Deferred[RunListing]:
        """Renew the lease and list the runs; see ``WorkerPort``."""
        answered: Deferred[RunListing] = Deferred()
        self._clock.callLater(
            LATENCY_SECONDS,
            self._take_hold,
            identity,
            hold,
            answered,
        )
        return answered

    def start(
        self,
        identity: WorkerIdentity,
        order: StartOrder,
        fence: int,
        lease_until_ms: int,
    ) -> Deferred[None]:
        """Start a run; see ``WorkerPort``."""
        return self._order(
            identity,
            lambda: self._start(order, fence, lease_until_ms),
        )

    def stop(
        self,
        identity: WorkerIdentity,
        order: StopOrder,
        fence: int,
    ) -> Deferred[None]:
        """Stop a run; see ``WorkerPort``."""
        return self._order(identity, lambda: self._stop(order, fence))

    def pace(
        self,
        identity: WorkerIdentity,
        order: PaceOrder,
        fence: int,
    ) -> Deferred[None]:
        """Let a run work at a share of its speed; see ``WorkerPort``."""
        return self._order(identity, lambda: self._pace(order, fence))

    def clock_ms(self) -> int:
        """Return the worker's own clock."""
        passed = (self._clock.seconds() - self._born_at) * self._clock_rate
        return int(passed * _MS)

    def _begin_life(self) -> None:
        self._born_at = self._clock.seconds()
        self._lease_until_ms = 0
        self._lease_timer: Any = None
        self._next_end = 1
        self._ended: list[EndedRow] = []
        # When each listed run ended; cleared once the lease has lapsed since.
        self._ended_at: dict[int, float] = {}
        self._refused_up_to: dict[str, int] = {}
        self._waiting: list[_Waiting] = []

    def _order(
        self,
        identity: WorkerIdentity,
        carry_out: Callable[[], None],
    ) -> Deferred[None]:
        answered: Deferred[None] = Deferred()
        fault = self._fault_of()
        delay = LATENCY_SECONDS
        if fault is Fault.late:
            delay = self.late_seconds
        self._clock.callLater(
            delay,
            self._carry_out,
            identity,
            carry_out,
            answered,
            fault,
            self._born_at,
        )
        if fault not in {Fault.none, Fault.refused}:
            error = PlatformError('no answer')
            self._clock.callLater(TIMEOUT_SECONDS, answered.errback, error)
        return answered

    def _carry_out(
        self,
        identity: WorkerIdentity,
        carry_out: Callable[[], None],
        answered: Deferred[None],
        fault: Fault,
        born_at: float,
    ) -> None:
        if fault is Fault.dropped:
            return
        if fault is Fault.refused:
            answered.errback(OrderRefusedError('status 503'))
            return
        # What was to be carried out late ends with the life that took it.
        if fault is Fault.late and born_at != self._born_at:
            return
        error = self._find_error(identity)
        if error is None:
            try:
                carry_out()
            except PlatformError as refused:
                error = refused
        if fault is not Fault.none:
            return
        if error is None:
            answered.callback(None)
        else:
            answered.errback(error)

    def _find_error(self, identity: WorkerIdentity) -> PlatformError | None:
        if not self.is_up:
            return WorkerNotListeningError('nothing listens')
        if identity.worker != self.identity.worker:
            return OtherIncarnationError('another worker')
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
        if order.run <= self._refused_up_to.get(order.task, 0):
            raise OrderRefusedError('old')
        self._extend_lease(lease_until_ms)
        if self._lease_until_ms <= self.clock_ms():
            raise OrderRefusedError('late')
        work = self._work_of(order)
        run = StandInRun(
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
        for callback in self.on_begin:
            callback(run.task, run.run)

    def _stop(self, order: StopOrder, fence: int) -> None:
        self._check_fence(fence)
        known = self._refused_up_to.get(order.task, 0)
        self._refused_up_to[order.task] = max(known, order.run)
        run = self.runs_by_task.get(order.task)
        if run is not None and run.run == order.run:
            run.timer.cancel()
            run.timer = self._clock.callLater(
                self.stop_seconds,
                self._end,
                run,
                RunEnding.stopped,
            )

    def _pace(self, order: PaceOrder, fence: int) -> None:
        self._check_fence(fence)
        run = self.runs_by_task.get(order.task)
        if run is not None and run.run == order.run:
            run.pace = order.percent

    def _take_hold(
        self,
        identity: WorkerIdentity,
        hold: HoldRequest,
        answered: Deferred[RunListing],
    ) -> None:
        error = self._find_error(identity)
        if error is None and hold.fence < self.fence:
            error = OrderRefusedError('fence')
        if error is not None:
            answered.errback(error)
            return
        self.fence = hold.fence
        self._extend_lease(hold.lease_until_ms)
        self._forget_ends(hold.acknowledged)
        if self._ended or not hold.wait_ms:
            answered.callback(self._list())
            return
        waiting = _Waiting(answered=answered, timer=None)
        waiting.timer = self._clock.callLater(
            hold.wait_ms / _MS,
            self._answer,
            waiting,
        )
        self._waiting.append(waiting)

    def _forget_ends(self, acknowledged: int) -> None:
        """Forget ends; tell of those after which no lease has lapsed."""
        forgotten = [row for row in self._ended if row.number <= acknowledged]
        self._ended = self._ended[len(forgotten) :]
        for row in forgotten:
            ended_at = self._ended_at.pop(row.number, None)
            if ended_at is not None:
                for callback in self.on_acknowledged:
                    callback(row, ended_at)

    def _answer(self, waiting: _Waiting) -> None:
        self._waiting.remove(waiting)
        waiting.answered.callback(self._list())

    def _list(self) -> RunListing:
        now = self._clock.seconds()
        return RunListing(
            born_ms=self.identity.born_ms,
            clock_ms=self.clock_ms(),
            running=[
                RunningRow(
                    task=run.task,
                    run=run.run,
                    percent=_percent(run, now),
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
        seconds = (until_ms - self.clock_ms()) / _MS / self._clock_rate
        self._lease_timer = self._clock.callLater(
            max(seconds, 0),
            self._lapse,
            self._born_at,
        )

    def _lapse(self, born_at: float) -> None:
        if born_at != self._born_at:
            return
        self._ended_at.clear()
        for run in list(self.runs_by_task.values()):
            run.timer.cancel()
            self._end(run, RunEnding.lapsed)

    def _end(self, run: StandInRun, ending: RunEnding) -> None:
        self.runs_by_task.pop(run.task, None)
        known = self._refused_up_to.get(run.task, 0)
        self._refused_up_to[run.task] = max(known, run.run)
        row = EndedRow(
            number=self._next_end,
            task=run.task,
            run=run.run,
            ending=ending,
        )
        self._ended.append(row)
        self._ended_at[row.number] = self._clock.seconds()
        self._next_end += 1
        self._tell_end(run, ending)
        for waiting in list(self._waiting):
            waiting.timer.cancel()
            self._answer(waiting)

    def _tell_end(self, run: StandInRun, ending: RunEnding) -> None:
        for callback in self.on_end:
            callback(run.task, run.run, ending)


def _percent(run: StandInRun, now: float) -> int:
    if run.work.seconds <= 0:
        return _FULL_PERCENT
    share = (now - run.started_at) / run.work.seconds
    return min(int(share * _FULL_PERCENT), _FULL_PERCENT)
