"""Application of committed log entries to the state machine."""

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
from wasabiturn.utils.logs import create_component_log
from wasabiturn.version.apply import apply_command
from wasabiturn.version.persistence import load_state
from wasabiturn.version.raft.state import Snapshot
from wasabiturn.version.replica import (
    AppliedCommand,
    NotLeaderError,
    OutcomeUnknownError,
)
from wasabiturn.version.state import State, create_state

_log = create_component_log('consensus')


@final
@attrs.frozen
class _Waiter:
    term: int
    result: Deferred[Outcome]


@final
@attrs.define
class Applier:
    """State machine of this process, and the callers that await its results."""

    state: State = attrs.field(factory=create_state)
    applied_index: int = 0
    on_applied: list[Callable[[AppliedCommand], None]] = attrs.field(
        factory=list
    )
    on_restored: list[Callable[[], None]] = attrs.field(factory=list)
    waiters_by_index: dict[int, _Waiter] = attrs.field(factory=dict)

    def wait(self, index: int, term: int, result: Deferred[Outcome]) -> None:
        """Fire ``result`` once the entry at ``index`` is applied."""
        self.waiters_by_index[index] = _Waiter(term=term, result=result)

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the state with that of a snapshot."""
        self.state = load_state(snapshot.content)
        self.applied_index = snapshot.head.index
        self.fail_waiters()
        for callback in self.on_restored:
            _run_callback(callback)

    def apply(self, entries: list[Entry]) -> None:
        """Apply committed entries in order."""
        for entry in entries:
            self.applied_index = entry.index
            if entry.kind is EntryKind.command:
                self._apply_command(entry)
            else:
                _log_membership(entry)
                self._settle(entry, None)

    def fail_waiters(self) -> None:
        """Fail all waiters with an unknown outcome: leadership was lost.

        Their entries may still be committed by another leader.
        """
        waiters_by_index = self.waiters_by_index
        self.waiters_by_index = {}
        for waiter in waiters_by_index.values():
            waiter.result.errback(
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
            _run_callback(callback, applied)
        self._settle(entry, effect.outcome)

    def _settle(self, entry: Entry, outcome: Outcome | None) -> None:
        waiter = self.waiters_by_index.pop(entry.index, None)
        if waiter is None:
            return
        if outcome is None or waiter.term != entry.term:
            waiter.result.errback(NotLeaderError(None))
        else:
            waiter.result.callback(outcome)


def _log_membership(entry: Entry) -> None:
    if entry.kind is not EntryKind.membership:
        return
    members = unpack(Membership, entry.payload).members
    _log.event(
        'members changed',
        voters=[each.member_id for each in members if each.voter],
        learners=[each.member_id for each in members if not each.voter],
    )


def _run_callback(callback: Callable[..., None], *arguments: Any) -> None:
    """Call another component; its failure must not stop replication."""
    try:
        callback(*arguments)
    except Exception as error:
        _log.warning(
            'callback failed; replication continues',
            error=repr(error),
            trace=traceback.format_exc(),
        )
