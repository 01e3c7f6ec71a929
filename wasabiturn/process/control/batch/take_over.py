"""Take-over of the queues by a new leader.

The leader plans on a copy of the committed state. The copy may take longer than
other members wait for a leader's heartbeat, so it is made in slices between
which the loop turns.
"""

from collections.abc import Callable, Iterator
from typing import Any, final

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from wasabiturn.batch import BatchState, copy_in_slices
from wasabiturn.messages.batch import BatchChange
from wasabiturn.messages.state import Command, Outcome
from wasabiturn.process.control.submission import submit
from wasabiturn.utils.logs import create_component_log
from wasabiturn.version.replica import AppliedCommand, Replica

# A tenth of the period in which other members expect a heartbeat.
SLICE_SECONDS = 0.01

_log = create_component_log('queues')


@final
class TakeOver:
    """Copy of the committed state for one leader term."""

    def __init__(
        self,
        replica: Replica,
        clock: Any,
        on_copied: Callable[[BatchState], None],
        on_failure: Callable[[], None],
    ) -> None:
        """Prepare it; one of the two functions is called in the end."""
        self._replica = replica
        self._clock = clock
        self._on_copied = on_copied
        self._on_failure = on_failure
        self._begun_at = float(clock.seconds())
        self._confirmation: Deferred[Outcome] | None = None
        self._copy = BatchState()
        self._slices: Iterator[None] | None = None
        self._next_slice: Any = None

    def start(self) -> None:
        """Commit a change without effect, behind which no earlier one is open.

        What this member submitted in an earlier term of the queues may still
        be on its way, as the term may have ended while the member led on.
        """
        change = Command(batch=BatchChange(keeps_limits=True))
        self._confirmation = submit(self._replica, change)
        self._confirmation.addCallback(self._begin_copy)
        self._confirmation.addErrback(self._fail)

    def cancel(self) -> None:
        """Give up; neither function is called."""
        if self._confirmation is not None:
            self._confirmation.cancel()
        if self._next_slice is not None:
            self._next_slice.cancel()
            self._next_slice = None
        self._slices = None

    def follow(self, applied: AppliedCommand) -> None:
        """Begin the copy anew if a change was applied meanwhile."""
        if self._slices is not None and applied.command.batch is not None:
            _log.warning('the state changed while it was copied')
            self._begin_copy(applied.outcome)

    def _begin_copy(self, outcome: Outcome) -> None:
        self._copy = BatchState()
        self._slices = copy_in_slices(self._replica.state.batch, self._copy)
        if self._next_slice is None:
            self._next_slice = self._clock.callLater(0, self._continue)

    def _continue(self) -> None:
        self._next_slice = None
        if self._slices is None:
            return
        try:
            self._copy_for_a_moment(self._slices)
        except Exception:
            # The leader must try again, or nobody plans.
            self._slices = None
            self._fail(Failure())

    def _copy_for_a_moment(self, slices: Iterator[None]) -> None:
        until = self._clock.seconds() + SLICE_SECONDS
        for _ in slices:
            if self._clock.seconds() >= until:
                self._next_slice = self._clock.callLater(0, self._continue)
                return
        self._slices = None
        self._log_copied()
        self._on_copied(self._copy)

    def _log_copied(self) -> None:
        _log.event(
            'copied the state of the queues',
            seconds=self._clock.seconds() - self._begun_at,
            jobs=len(self._copy.jobs_by_id),
            tasks=len(self._copy.tasks_by_name),
        )

    def _fail(self, failure: Failure) -> None:
        if failure.check(CancelledError):
            return
        _log.warning(
            'taking over leadership failed; retried while the lease is held',
            error=repr(failure.value),
            trace=failure.getTraceback(),
        )
        self._on_failure()
