"""Runs of the stand-in worker: simulated tasks that slow each other down.

Times are in seconds on the worker's clock. A run is stopped when its lease
expires.
"""

from typing import Any, final

import attrs

from wasabiturn.messages.kinds import AttemptState
from wasabiturn.messages.state import Capacity

# Allows for rounding errors in the accumulated progress.
PROGRESS_TOLERANCE_SECONDS = 1e-9
MIN_WAIT_SECONDS = 0.001


class RunRefusedError(Exception):
    """The worker refused a run and did not start it."""


@final
@attrs.frozen
class RunOrder:
    """Request to start a run, as the platform's interface sends it."""

    task: str
    attempt: int
    size: Capacity
    kind: str = ''
    service: bool = False
    command: str = ''
    checkpoint: str = ''
    run_seconds: float = 0.0
    throttle: float = 1.0
    start_until: float = 0.0
    lease_until: float = 0.0
    incarnation: str = ''


@final
@attrs.define(eq=False)
class StandInRun:
    """One active or ended run.

    ``behaviour`` holds the overrides given in the command of the order.
    ``rate`` is the progress per second: the throttle reduced by interference.
    """

    order: RunOrder
    behaviour: dict[str, str]
    started_at: float
    lease_until: float
    state: AttemptState = AttemptState.running
    reason: str = ''
    checkpoint: str = ''
    progress_seconds: float = 0.0
    throttle: float = 1.0
    rate: float = 1.0
    ended_at: float = 0.0

    def needed_seconds(self) -> float:
        """Return the progress at which the run ends itself, or infinity."""
        needed = float(
            self.behaviour.get('run_seconds', self.order.run_seconds),
        )
        needed = float(self.behaviour.get('fail_after', needed))
        return needed if needed > 0 else float('inf')

    def used(self) -> Capacity:
        """Return what the run uses, which may differ from its size."""
        size = self.order.size
        return Capacity(
            cores=float(self.behaviour.get('cores', size.cores)),
            memory_mb=int(self.behaviour.get('memory_mb', size.memory_mb)),
            accelerators=size.accelerators,
        )


@final
class RunTable:
    """Active and ended runs of one worker."""

    def __init__(
        self,
        clock: Any,
        interference_by_pair: dict[tuple[str, str], float],
        record: Any,
    ) -> None:
        """Create an empty table.

        ``record`` is called with ``'start'`` or ``'end'`` and the run.
        ``interference_by_pair`` is the slowdown of a task kind by another one,
        keyed by ``(slowed, slowing)``.
        """
        self.runs_by_name: dict[tuple[str, int], StandInRun] = {}
        self.newest_attempt_by_task: dict[str, int] = {}
        self.fails_everything = False
        self._clock = clock
        self._interference_by_pair = interference_by_pair
        self._record = record
        self._progress_updated_at = float(clock.seconds())
        self._timer: Any = None

    def now(self) -> float:
        """Return the time on the worker's clock in seconds."""
        return float(self._clock.seconds())

    def start(self, order: RunOrder) -> None:
        """Start a run.

        Raises:
            RunRefusedError: ``start_until`` has passed, or this or a newer
                attempt of the task was started before.
        """
        self._update_progress()
        if self.now() > order.start_until:
            raise RunRefusedError('the start is late')
        if order.attempt <= self.newest_attempt_by_task.get(order.task, 0):
            raise RunRefusedError('this attempt or a newer one was seen')
        self.newest_attempt_by_task[order.task] = order.attempt
        run = StandInRun(
            order=order,
            behaviour=_parse_behaviour(order.command),
            started_at=self.now(),
            lease_until=order.lease_until,
            throttle=order.throttle,
            checkpoint=order.checkpoint,
            progress_seconds=float(order.checkpoint or 0),
        )
        self.runs_by_name[order.task, order.attempt] = run
        self._record('start', run)
        if self.fails_everything:
            self._end(run, AttemptState.failed, 'worker is broken')
        self._reschedule()

    def renew(self, name: tuple[str, int], until: float) -> None:
        """Extend the lease of an active run; ignore others."""
        self._update_progress()
        run = self.runs_by_name.get(name)
        if run is not None and run.state is AttemptState.running:
            run.lease_until = max(run.lease_until, until)
        self._reschedule()

    def throttle(self, name: tuple[str, int], share: float) -> None:
        """Limit a run to ``share`` of full speed."""
        self._update_progress()
        self.runs_by_name[name].throttle = share
        self._reschedule()

    def checkpoint(self, name: tuple[str, int]) -> str:
        """Save and return the progress of a run."""
        self._update_progress()
        run = self.runs_by_name[name]
        if run.state is AttemptState.running:
            run.checkpoint = f'{run.progress_seconds:.3f}'
        self._reschedule()
        return run.checkpoint

    def stop(self, name: tuple[str, int], reason: str) -> None:
        """Stop an active run; ignore others."""
        self._update_progress()
        run = self.runs_by_name.get(name)
        if run is not None and run.state is AttemptState.running:
            self._end(run, AttemptState.stopped, reason)
        self._reschedule()

    def forget(self, name: tuple[str, int]) -> None:
        """Remove an ended run; ignore others."""
        run = self.runs_by_name.get(name)
        if run is not None and run.state is not AttemptState.running:
            self.runs_by_name.pop(name)

    def clear(self) -> None:
        """Lose every run and what is known of earlier ones."""
        self.runs_by_name.clear()
        self.newest_attempt_by_task.clear()
        self._reschedule()

    def refresh(self) -> None:
        """Update progress, and end runs that are complete or have expired."""
        self._update_progress()
        self._reschedule()

    def running(self) -> list[StandInRun]:
        """Return the active runs."""
        return [
            run
            for run in self.runs_by_name.values()
            if run.state is AttemptState.running
        ]

    def _update_progress(self) -> None:
        now = self.now()
        for run in self.running():
            until = min(now, run.lease_until)
            elapsed = max(until - self._progress_updated_at, 0)
            run.progress_seconds += elapsed * run.rate
            if (
                run.progress_seconds
                >= run.needed_seconds() - PROGRESS_TOLERANCE_SECONDS
            ):
                self._finish(run)
            elif now >= run.lease_until:
                self._end(run, AttemptState.stopped, 'lease ended')
        self._progress_updated_at = now

    def _finish(self, run: StandInRun) -> None:
        if 'fail_after' in run.behaviour:
            self._end(run, AttemptState.failed, 'command failed')
        else:
            self._end(run, AttemptState.finished, '')

    def _end(self, run: StandInRun, state: AttemptState, reason: str) -> None:
        run.state = state
        run.reason = reason
        run.ended_at = self.now()
        self._record('end', run)

    def _reschedule(self) -> None:
        """Recompute rates, and set the timer to the next end of a run."""
        running = self.running()
        for run in running:
            run.rate = self._compute_rate(run, running)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now = self._progress_updated_at
        ends = [_compute_next_end(active_run, now) for active_run in running]
        if ends:
            wait = max(min(ends) - self.now(), MIN_WAIT_SECONDS)
            self._timer = self._clock.callLater(wait, self._wake_up)

    def _wake_up(self) -> None:
        self._timer = None
        self.refresh()

    def _compute_rate(
        self,
        run: StandInRun,
        running: list[StandInRun],
    ) -> float:
        slowdown = sum(
            self._interference_by_pair.get(
                (run.order.kind, other.order.kind),
                0,
            )
            * other.throttle
            for other in running
            if other is not run
        )
        return run.throttle / (1 + slowdown)


def _compute_next_end(run: StandInRun, now: float) -> float:
    remaining_seconds = run.needed_seconds() - run.progress_seconds
    if run.rate <= 0:
        return run.lease_until
    return min(now + remaining_seconds / run.rate, run.lease_until)


def _parse_behaviour(command: str) -> dict[str, str]:
    """Parse ``key=value`` words of a command; other words are ignored.

    Known keys are run_seconds, fail_after, cores and memory_mb.
    """
    words = [word.partition('=') for word in command.split()]
    return {key: value for key, separator, value in words if separator}
