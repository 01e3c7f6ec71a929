"""Changes of the book on their way through the replicated log.

The leader decides on its own copy, the book ahead, to which each change is
applied when it is recorded. What a change means for others is said only once
it is committed. What is recorded in one turn of the loop is one command, unless
the order of its fields would not be the order in which it was recorded.
"""

from collections.abc import Callable
from typing import Any, final

import attrs
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from wasabiturn.batch import BatchState, apply_batch_change
from wasabiturn.connection.calls import CallError
from wasabiturn.messages.batch import BatchChange
from wasabiturn.messages.kinds import FailureCode
from wasabiturn.messages.state import Command, Outcome
from wasabiturn.process import exposition
from wasabiturn.process.control.submission import submit
from wasabiturn.version.replica import Replica


@final
@attrs.define
class _Batch:
    change: BatchChange = attrs.field(factory=BatchChange)
    waiting: list[Deferred[None]] = attrs.field(factory=list)
    submitted_at: float = 0.0


@final
class Pipeline:
    """Commits changes of one term of this leader."""

    def __init__(
        self,
        replica: Replica,
        clock: Any,
        batch_state: BatchState,
        on_flush: Callable[[], None],
        on_commit: Callable[[BatchChange], None],
        on_failure: Callable[[], None],
    ) -> None:
        """Create the pipeline; ``on_flush`` may record more."""
        self.batch_state = batch_state
        self.is_closed = False
        self._replica = replica
        self._clock = clock
        self._on_flush = on_flush
        self._on_commit = on_commit
        self._on_failure = on_failure
        self._batch = _Batch()
        self._flush_call: Any = None

    def record(self, change: BatchChange) -> Deferred[None]:
        """Apply ``change`` to the book ahead, and commit it.

        The Deferred fails with ``CallError`` when that is not certain.
        """
        self.add(change)
        committed: Deferred[None] = Deferred()
        self._batch.waiting.append(committed)
        return committed

    def add(self, change: BatchChange) -> BatchChange:
        """Apply ``change`` to the book ahead, and commit it unwatched.

        Returns the change that it became part of.
        """
        if not _keeps_order(self._batch.change, change):
            self._submit(self._take())
        apply_batch_change(self.batch_state, change)
        _merge(self._batch.change, change)
        self.wake_up()
        return self._batch.change

    def wake_up(self) -> None:
        """Plan and flush at the end of this turn of the loop."""
        if self._flush_call is None and not self.is_closed:
            self._flush_call = self._clock.callLater(0, self._flush)

    def close(self) -> None:
        """Stop; what was not yet submitted has certainly not run."""
        self.is_closed = True
        if self._flush_call is not None:
            self._flush_call.cancel()
            self._flush_call = None
        error = CallError(FailureCode.not_leader, 'leadership was lost')
        _fail_all(self._take().waiting, error)

    def _flush(self) -> None:
        self._on_flush()
        self._flush_call = None
        self._submit(self._take())

    def _submit(self, batch: _Batch) -> None:
        if batch.change == BatchChange():
            _settle(batch.waiting)
            return
        batch.submitted_at = self._clock.seconds()
        submitted = submit(self._replica, Command(batch=batch.change))
        submitted.addCallbacks(
            self._finish, self._abandon, (batch,), {}, (batch,)
        )

    def _take(self) -> _Batch:
        batch = self._batch
        self._batch = _Batch()
        return batch

    def _finish(self, outcome: Outcome, batch: _Batch) -> None:
        passed = self._clock.seconds() - batch.submitted_at
        exposition.commit_seconds.observe(passed)
        if not self.is_closed:
            self._on_commit(batch.change)
        _settle(batch.waiting)

    def _abandon(self, failure: Failure, batch: _Batch) -> None:
        error: Any = failure.value
        if not isinstance(error, CallError):
            error = CallError(FailureCode.outcome_unknown, repr(error))
        _fail_all(batch.waiting, error)
        if not self.is_closed:
            self._on_failure()


def _merge(merged: BatchChange, change: BatchChange) -> None:
    merged.routing = merged.routing or change.routing
    merged.marks.extend(change.marks)
    merged.accepts.extend(change.accepts)
    merged.cancels.extend(change.cancels)
    merged.ends.extend(change.ends)
    merged.starts.extend(change.starts)
    merged.forgets.extend(change.forgets)
    merged.pressures = change.pressures or merged.pressures


def _keeps_order(merged: BatchChange, change: BatchChange) -> bool:
    """Tell whether both, applied as one, do what they do one by one."""
    if merged.routing is not None and change.routing is not None:
        return False
    return max(_ranks(merged), default=0) <= min(_ranks(change), default=0)


def _ranks(change: BatchChange) -> list[int]:
    """Return the places of the fields in use, in their order."""
    names = [field.name for field in attrs.fields(BatchChange)]
    return [rank for rank, name in enumerate(names) if getattr(change, name)]


def _settle(waiting: list[Deferred[None]]) -> None:
    for committed in waiting:
        committed.callback(None)


def _fail_all(waiting: list[Deferred[None]], error: CallError) -> None:
    for committed in waiting:
        committed.errback(error)
