"""Application of committed entries, and the callers that wait for them."""

import traceback
from collections.abc import Callable
from typing import Any, final

import attrs
from twisted.internet.defer import Deferred

from wasabiturn.ids import LogIndex
from wasabiturn.messages.codec import unpack
from wasabiturn.messages.kinds import EntryKind
from wasabiturn.messages.raft import Entry, Membership
from wasabiturn.messages.state import Command, Outcome
from wasabiturn.utils.logs import create_part_log
from wasabiturn.version.apply import apply_command
from wasabiturn.version.persistence import load_state
from wasabiturn.version.raft.state import Snapshot
from wasabiturn.version.replica import (
    AppliedCommand,
    NotLeaderError,
    OutcomeUnknownError,
)
from wasabiturn.version.state import State, create_state

_log = create_part_log('consensus')


@final
@attrs.frozen
class _Waiting:
    term: int
    settled: Deferred[Outcome]


@final
@attrs.define
class Applier:
    """State machine of this process."""

    state: State = attrs.field(factory=create_state)
    applied_index: int = 0
    on_applied: list[Callable[[AppliedCommand], None]] = attrs.field(
        factory=list
    )
    on_restored: list[Callable[[], None]] = attrs.field(factory=list)
    waiting_by_index: dict[int, _Waiting] = attrs.field(factory=dict)

    def wait(self, index: int, term: int, settled: Deferred[Outcome]) -> None:
        """Settle ``settled`` once the entry at ``index`` is applied."""
        self.waiting_by_index[index] = _Waiting(term=term, settled=settled)

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the state by that of a snapshot."""
        self.state = load_state(snapshot.content)
        self.applied_index = snapshot.head.index
        self.abandon()
        for callback in self.on_restored:
            _call(callback)

    def apply(self, entries: list[Entry]) -> None:
        """Apply committed entries in order."""
        for entry in entries:
            self.applied_index = entry.index
            if entry.kind is EntryKind.command:
                self._apply_command(entry)
            else:
                _log_members(entry)
                self._settle(entry, None)

    def abandon(self) -> None:
        """Leave open what became of all that waits: leadership was lost."""
        waiting_by_index = self.waiting_by_index
        self.waiting_by_index = {}
        for waiting in waiting_by_index.values():
            waiting.settled.errback(
                OutcomeUnknownError('leadership was lost before the commit'),
            )

    def _apply_command(self, entry: Entry) -> None:
        command = unpack(Command, entry.payload)
        effect = apply_command(self.state, command)
        applied = AppliedCommand(
            index=LogIndex(entry.index),
            command=command,
            outcome=effect.outcome,
            changes=effect.changes,
        )
        for callback in self.on_applied:
            _call(callback, applied)
        self._settle(entry, effect.outcome)

    def _settle(self, entry: Entry, outcome: Outcome | None) -> None:
        waiting = self.waiting_by_index.pop(entry.index, None)
        if waiting is None:
            return
        if outcome is None or waiting.term != entry.term:
            waiting.settled.errback(NotLeaderError(None))
        else:
            waiting.settled.callback(outcome)


def _log_members(entry: Entry) -> None:
    if entry.kind is not EntryKind.membership:
        return
    members = unpack(Membership, entry.payload).members
    _log.event(
        'members changed',
        voters=[each.member_id for each in members if each.voter],
        learners=[each.member_id for each in members if not each.voter],
    )


def _call(callback: Callable[..., None], *arguments: Any) -> None:
    """Call another part; its failure must not stop replication."""
    try:
        callback(*arguments)
    except Exception as error:
        _log.warning(
            'callback failed',
            error=repr(error),
            trace=traceback.format_exc(),
        )
