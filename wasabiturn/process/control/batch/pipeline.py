"""Commit of batch changes through the replicated log.

The leader plans on its own working copy of the state, to which each change is
applied when it is recorded. Others learn of a change only once it is committed.
Changes recorded in one iteration of the event loop are merged into one command,
unless applying its fields in turn would reorder them.
"""

import traceback
from collections.abc import Callable
from typing import Any, final

import attrs
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from wasabiturn.batch import BatchState, apply_batch_change
from wasabiturn.batch.fleet import UNKNOWN
from wasabiturn.batch.state.clock import StateClock
from wasabiturn.connection.calls import CallError
from wasabiturn.messages.batch import BatchChange, StartRun
from wasabiturn.messages.footprint import measure_declaration
from wasabiturn.messages.kinds import FailureCode
from wasabiturn.messages.state import Command, Outcome
from wasabiturn.process import exposition
from wasabiturn.process.control.submission import submit
from wasabiturn.utils.logs import create_component_log
from wasabiturn.version.replica import Replica

_UNORDERED_FIELDS = frozenset(('settled', 'overdue', 'limits', 'clock_ms'))

# Changes are merged up to this size, as a command has a largest one; see
# ``MAX_COMMAND_BYTES`` of ``process/control/member.py``.
MAX_MERGED_BYTES = 1_000_000
# A start takes about 100 bytes. Those of one gang are rarely parted.
MAX_STARTS = 20_000
_RECORD_BYTES = 128

_log = create_component_log('queues')


@final
@attrs.define
class _Batch:
    change: BatchChange = attrs.field(factory=BatchChange)
    size_bytes: int = 0
    waiters: list[Deferred[None]] = attrs.field(factory=list)
    submitted_at: float = 0.0


@final
@attrs.frozen
class PipelineHooks:
    """What a pipeline calls.

    ``on_flush`` may record more changes; ``after_flush`` is called also if it
    failed. ``before_apply`` is called with each change before it is applied to
    the working copy.
    """

    on_flush: Callable[[], None]
    after_flush: Callable[[], None]
    on_commit: Callable[[BatchChange], None]
    on_failure: Callable[[], None]
    before_apply: Callable[[BatchChange], None]


@final
class Pipeline:
    """Commits the changes of one leader term."""

    def __init__(
        self,
        replica: Replica,
        clock: Any,
        batch_state: BatchState,
        state_clock: StateClock,
        hooks: PipelineHooks,
    ) -> None:
        """Create the pipeline.

        ``batch_state`` is the working copy of the committed state, and
        ``state_clock`` gives the time of each change.
        """
        self.batch_state = batch_state
        self.is_closed = False
        self._replica = replica
        self._clock = clock
        self._hooks = hooks
        self._state_clock = state_clock
        self._batch = _Batch()
        self._flush_call: Any = None

    def record(self, change: BatchChange) -> Deferred[None]:
        """Apply ``change`` to the working copy, and commit it.

        The Deferred fails with ``CallError`` unless the commit is certain.
        """
        self.add(change)
        committed: Deferred[None] = Deferred()
        self._batch.waiters.append(committed)
        return committed

    def confirm(self) -> Deferred[None]:
        """Fire once all changes recorded so far are committed.

        Commits the time, behind them. Fails as ``record`` does.
        """
        return self.record(BatchChange(clock_ms=max(self.read_clock(), 1)))

    def read_clock(self) -> int:
        """Return the present time on the clock of the state, in ms."""
        return self._state_clock.read(self._clock.seconds())

    def to_loop(self, limit_ms: int) -> float:
        """Return the time of the loop of a limit; see ``order_limits.py``."""
        if not limit_ms:
            return UNKNOWN
        return self._state_clock.to_loop(limit_ms, self._clock.seconds())

    def add(self, change: BatchChange) -> BatchChange:
        """Apply and commit ``change`` without reporting the outcome.

        Returns the merged change that it became part of.
        """
        size_bytes = _measure_change(change)
        is_full = self._batch.size_bytes + size_bytes > MAX_MERGED_BYTES
        if is_full or not _can_merge(self._batch.change, change):
            self._submit(self._take_batch())
        self._apply(change, size_bytes)
        self.schedule_flush()
        return self._batch.change

    def add_to_next(self, change: BatchChange) -> None:
        """Apply ``change`` and commit it with the next one that is flushed."""
        self._apply(change, _measure_change(change))

    def _apply(self, change: BatchChange, size_bytes: int) -> None:
        if change == BatchChange():
            return
        change.clock_ms = self.read_clock()
        self._hooks.before_apply(change)
        apply_batch_change(self.batch_state, change)
        _merge_change(self._batch.change, change)
        self._batch.size_bytes += size_bytes

    def commit_planned(self, starts: list[StartRun]) -> None:
        """Commit starts that the working copy has already, without a plan."""
        for first in range(0, len(starts), MAX_STARTS):
            self._commit_starts(starts[first : first + MAX_STARTS])

    def schedule_flush(self) -> None:
        """Plan and flush at the end of this event loop iteration."""
        if self._flush_call is None and not self.is_closed:
            self._flush_call = self._clock.callLater(0, self._flush)

    def close(self) -> None:
        """Stop; changes not yet submitted are certainly not committed."""
        self.is_closed = True
        # A commit that fails at once closes it while it is flushed.
        if self._flush_call is not None and self._flush_call.active():
            self._flush_call.cancel()
        self._flush_call = None
        error = CallError(FailureCode.not_leader, 'leadership was lost')
        _fail_all(self._take_batch().waiters, error)

    def _commit_starts(self, starts: list[StartRun]) -> None:
        change = BatchChange(starts=starts, clock_ms=self.read_clock())
        if not _can_merge(self._batch.change, change):
            self._submit(self._take_batch())
        _merge_change(self._batch.change, change)
        self._submit(self._take_batch())

    def _flush(self) -> None:
        # What callers recorded must still be committed and answered, and what
        # was planned before an error be offered.
        _call(self._hooks.on_flush)
        _call(self._hooks.after_flush)
        self._flush_call = None
        self._submit(self._take_batch())

    def _submit(self, batch: _Batch) -> None:
        if batch.change == BatchChange():
            _resolve_all(batch.waiters)
            return
        batch.submitted_at = self._clock.seconds()
        submitted = submit(self._replica, Command(batch=batch.change))
        submitted.addCallbacks(
            self._handle_commit,
            self._handle_commit_failure,
            (batch,),
            {},
            (batch,),
        )

    def _take_batch(self) -> _Batch:
        batch = self._batch
        self._batch = _Batch()
        return batch

    def _handle_commit(self, outcome: Outcome, batch: _Batch) -> None:
        elapsed_seconds = self._clock.seconds() - batch.submitted_at
        exposition.commit_seconds.observe(elapsed_seconds)
        if not self.is_closed:
            self._hooks.on_commit(batch.change)
        _resolve_all(batch.waiters)

    def _handle_commit_failure(self, failure: Failure, batch: _Batch) -> None:
        error: Any = failure.value
        if not isinstance(error, CallError):
            error = CallError(FailureCode.outcome_unknown, repr(error))
        _fail_all(batch.waiters, error)
        if not self.is_closed:
            self._hooks.on_failure()


def _call(hook: Callable[[], None]) -> None:
    try:
        hook()
    except Exception:
        _log.warning('planning failed', trace=traceback.format_exc())


def _merge_change(merged: BatchChange, change: BatchChange) -> None:
    merged.routing = merged.routing or change.routing
    merged.marks.extend(change.marks)
    merged.accepts.extend(change.accepts)
    merged.cancels.extend(change.cancels)
    merged.ends.extend(change.ends)
    merged.starts.extend(change.starts)
    merged.forgets.extend(change.forgets)
    merged.pressures = change.pressures or merged.pressures
    merged.settled.extend(change.settled)
    merged.overdue.extend(change.overdue)
    merged.limits.extend(change.limits)
    merged.give_ups.extend(change.give_ups)
    merged.cleared.extend(change.cleared)
    merged.clock_ms = max(merged.clock_ms, change.clock_ms)


def _measure_change(change: BatchChange) -> int:
    """Return about how many bytes a change takes in a command."""
    routing = change.routing
    documents_bytes = 0 if routing is None else len(routing.document)
    jobs_bytes = sum(
        measure_declaration(accepted.declaration).stored_bytes
        for accepted in change.accepts
    )
    checkpoints_bytes = sum(len(end.checkpoint) for end in change.ends)
    records = len(change.ends) + len(change.starts) + len(change.settled)
    texts_bytes = documents_bytes + jobs_bytes + checkpoints_bytes
    return texts_bytes + records * _RECORD_BYTES


def _can_merge(merged: BatchChange, change: BatchChange) -> bool:
    """Return whether a merged change has the effect of both in turn."""
    if merged.routing is not None and change.routing is not None:
        return False
    return max(_field_positions(merged), default=0) <= min(
        _field_positions(change), default=0
    )


def _field_positions(change: BatchChange) -> list[int]:
    """Return the positions of the fields that are set, ascending.

    Settled starts and limits matter at none: they are read for active runs
    only, and the next start of a task resets them. Nor does the clock, which
    only grows.
    """
    names = [field.name for field in attrs.fields(BatchChange)]
    return [
        position
        for position, name in enumerate(names)
        if name not in _UNORDERED_FIELDS and getattr(change, name)
    ]


def _resolve_all(waiters: list[Deferred[None]]) -> None:
    for waiter in waiters:
        waiter.callback(None)


def _fail_all(waiters: list[Deferred[None]], error: CallError) -> None:
    for waiter in waiters:
        waiter.errback(error)
