"""Running member: the consensus core, its store, peers and state machine.

``flush`` makes everything that was stepped durable with one save. Only then
messages are sent and committed entries are applied.
"""

from random import Random
from typing import final

import attrs
from twisted.internet.defer import Deferred, fail

from wasabiturn.conf.sections import ControlSection
from wasabiturn.exceptions import DiskFullError
from wasabiturn.ids import InstanceName
from wasabiturn.messages.codec import pack
from wasabiturn.messages.state import Command, Outcome
from wasabiturn.process.control.applier import Applier
from wasabiturn.process.control.barriers import ReadBarriers
from wasabiturn.process.control.peers import Peers
from wasabiturn.utils.logs import create_component_log
from wasabiturn.version.persistence import dump_state
from wasabiturn.version.raft import lease, snapshots
from wasabiturn.version.raft.core import (
    Propose,
    create_raft,
    propose,
    take_effects,
)
from wasabiturn.version.raft.membership import name_of
from wasabiturn.version.raft.state import Effects, GroupRules, RaftState
from wasabiturn.version.replica import CommandTooLargeError, NotLeaderError
from wasabiturn.version.storage import Store, open_store

RETAINED_LOG_ENTRIES = 1000
MAX_COMMAND_BYTES = 4 * 1024 * 1024
STAGGER_DIVISOR = 4
# Entries after which a snapshot that found no room is tried again.
POSTPONED_SNAPSHOT_ENTRIES = 500
_INCARNATION_BITS = 64

_log = create_component_log('consensus')


@final
@attrs.frozen
class _PendingCommand:
    payload: bytes
    result: Deferred[Outcome]


@final
@attrs.define
class ActiveMember:
    """Member whose data folder is open."""

    raft: RaftState
    store: Store
    peers: Peers
    applier: Applier
    snapshot_entries: int
    # Effects that found no room on the disk. Until they are saved, this member
    # steps nothing and sends nothing, as if the disk hung.
    unsaved_effects: Effects | None = None
    postponed_snapshot_index: int = 0
    barriers: ReadBarriers = attrs.field(factory=ReadBarriers)
    pending_commands: list[_PendingCommand] = attrs.field(factory=list)

    def submit(self, command: Command, now: float) -> Deferred[Outcome]:
        """Add a command to the next flush; fires with its outcome."""
        if self.raft.leadership is None or self.is_stalled():
            return fail(NotLeaderError(self.leader(now)))
        payload = pack(command)
        if len(payload) > MAX_COMMAND_BYTES:
            text = f'{len(payload)} bytes are over {MAX_COMMAND_BYTES}'
            return fail(CommandTooLargeError(text))
        result: Deferred[Outcome] = Deferred()
        self.pending_commands.append(
            _PendingCommand(payload=payload, result=result),
        )
        return result

    def flush(self, now: float) -> None:
        """Save the effects of all steps, then send messages and apply entries.

        Raises:
            DiskFullError: nothing was saved or sent; call ``retry_save`` later.
            StateError: this member must stop and send nothing more.
        """
        self._propose(now)
        self._carry_out(take_effects(self.raft), now)

    def retry_save(self, now: float) -> None:
        """Carry out the effects that found no room; raises as ``flush``."""
        if self.unsaved_effects is not None:
            self._carry_out(self.unsaved_effects, now)

    def is_stalled(self) -> bool:
        """Return whether this member waits for room on its disk."""
        return self.unsaved_effects is not None

    def _carry_out(self, effects: Effects, now: float) -> None:
        self.unsaved_effects = effects
        self.store.save(effects.ballot, effects.entries, effects.snapshot)
        self.unsaved_effects = None
        for envelope in effects.messages:
            self.peers.send(envelope)
        if effects.snapshot is not None:
            self.applier.restore(effects.snapshot)
        self.applier.apply(effects.committed)
        self._take_snapshot_if_due()
        self._resolve_pending(now)

    def leader(self, now: float) -> InstanceName | None:
        """Return the name of the leader that this member has heard lately."""
        if self.is_stalled() or not lease.hears_leader(self.raft, now):
            return None
        return InstanceName(name_of(self.raft.leader_id)) or None

    def is_idle(self) -> bool:
        """Return whether no submitted command awaits its outcome."""
        return not self.pending_commands and not self.applier.waiters_by_index

    def leads(self) -> bool:
        """Return whether this member leads and is caught up.

        It has then applied all entries committed in earlier terms.
        """
        leadership = self.raft.leadership
        if leadership is None or self.is_stalled():
            return False
        return self.applier.applied_index >= leadership.first_index

    def _propose(self, now: float) -> None:
        batch = self.pending_commands
        if not batch:
            return
        self.pending_commands = []
        message = Propose(tuple(each.payload for each in batch))
        proposed = propose(self.raft, message, now)
        if proposed.is_error():
            for refused in batch:
                refused.result.errback(NotLeaderError(self.leader(now)))
            return
        term = self.raft.ballot.term
        for index, accepted in enumerate(batch, start=proposed.ok):
            self.applier.wait(index, term, accepted.result)

    def _take_snapshot_if_due(self) -> None:
        current = self.raft.snapshot
        covered_index = 0 if current is None else current.head.index
        due_index = max(
            covered_index + self.snapshot_entries,
            self.postponed_snapshot_index,
        )
        if self.applier.applied_index < due_index:
            return
        content = dump_state(self.applier.state)
        snapshot = snapshots.create_snapshot(self.raft, content)
        try:
            self.store.save_snapshot(snapshot)
        except DiskFullError as error:
            self._postpone_snapshot(error)
            return
        snapshots.adopt_snapshot(self.raft, snapshot, RETAINED_LOG_ENTRIES)
        _log.event(
            'took snapshot of the state',
            index=snapshot.head.index,
            size=len(content),
        )

    def _postpone_snapshot(self, error: DiskFullError) -> None:
        index = self.applier.applied_index + POSTPONED_SNAPSHOT_ENTRIES
        self.postponed_snapshot_index = index
        _log.warning(
            'no room for a snapshot; tried again later',
            next_index=index,
            error=str(error),
        )

    def _resolve_pending(self, now: float) -> None:
        if self.raft.leadership is None:
            self.applier.fail_waiters()
            self.barriers.fail_all(self.leader(now))
        elif self.leads():
            self.barriers.release(lease.quorum_contact_at(self.raft, now))


def open_member(
    section: ControlSection,
    name: InstanceName,
    peers: Peers,
    applier: Applier,
    random: Random,
    now: float,
) -> ActiveMember:
    """Open the data folder and recover the member that owns it.

    Raises:
        StorageError: the data folder cannot be used.
    """
    incarnation = f'{random.getrandbits(_INCARNATION_BITS):016x}'
    store = open_store(section.data_folder, name, incarnation)
    raft = create_raft(
        store.member_id,
        tuple(member.name for member in section.members),
        store.recovered,
        random,
        now,
        GroupRules(voters=section.voters, may_found=section.may_found),
    )
    if raft.snapshot is not None:
        applier.restore(raft.snapshot)
    _log.event(
        'recovered from the data folder',
        member=raft.member_id,
        term=raft.ballot.term,
        last_index=raft.log.last_index,
    )
    return ActiveMember(
        raft=raft,
        store=store,
        peers=peers,
        applier=applier,
        snapshot_entries=_snapshot_period(section, name),
    )


def _snapshot_period(section: ControlSection, name: InstanceName) -> int:
    """Return entries between snapshots, staggered over the members.

    Taking a snapshot blocks a member, so not all may do it at once.
    """
    names = [member.name for member in section.members]
    position = names.index(name) if name in names else 0
    entries = section.snapshot_entries
    return entries + entries * position // (STAGGER_DIVISOR * len(names))
