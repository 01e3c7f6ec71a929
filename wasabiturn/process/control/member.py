"""One member at work: the core, its disk, its links and its state machine.

``flush`` makes everything that was stepped durable with one save; only then
messages leave and committed entries are applied.
"""

from random import Random
from typing import final

import attrs
from twisted.internet.defer import Deferred, fail

from wasabiturn.conf.sections import ControlSection
from wasabiturn.ids import InstanceName
from wasabiturn.messages.codec import pack
from wasabiturn.messages.state import Command, Outcome
from wasabiturn.process.control.applier import Applier
from wasabiturn.process.control.barriers import Barriers
from wasabiturn.process.control.peers import Peers
from wasabiturn.utils.logs import create_part_log
from wasabiturn.version.persistence import dump_state
from wasabiturn.version.raft import lease, snapshots
from wasabiturn.version.raft.core import (
    Propose,
    create_raft,
    propose,
    take_effects,
)
from wasabiturn.version.raft.membership import name_of
from wasabiturn.version.raft.state import GroupRules, RaftState
from wasabiturn.version.replica import CommandTooLargeError, NotLeaderError
from wasabiturn.version.storage import Store, open_store

KEPT_ENTRIES = 1000
MAX_COMMAND_BYTES = 4 * 1024 * 1024
STAGGER_SHARE = 4
_INCARNATION_BITS = 64

_log = create_part_log('consensus')


@final
@attrs.frozen
class _Submit:
    payload: bytes
    settled: Deferred[Outcome]


@final
@attrs.define
class ActiveMember:
    """Member whose data folder is open."""

    raft: RaftState
    store: Store
    peers: Peers
    applier: Applier
    snapshot_entries: int
    barriers: Barriers = attrs.field(factory=Barriers)
    submits: list[_Submit] = attrs.field(factory=list)

    def submit(self, command: Command, now: float) -> Deferred[Outcome]:
        """Take a command into the next flush."""
        if self.raft.leadership is None:
            return fail(NotLeaderError(self.leader(now)))
        payload = pack(command)
        if len(payload) > MAX_COMMAND_BYTES:
            text = f'{len(payload)} bytes are over {MAX_COMMAND_BYTES}'
            return fail(CommandTooLargeError(text))
        settled: Deferred[Outcome] = Deferred()
        self.submits.append(_Submit(payload=payload, settled=settled))
        return settled

    def flush(self, now: float) -> None:
        """Save, send and apply.

        Raises:
            StateError: nothing more may be said for this member.
        """
        self._propose(now)
        effects = take_effects(self.raft)
        self.store.save(effects.ballot, effects.entries, effects.snapshot)
        for envelope in effects.messages:
            self.peers.send(envelope)
        if effects.snapshot is not None:
            self.applier.restore(effects.snapshot)
        self.applier.apply(effects.committed)
        self._take_snapshot()
        self._settle_waiting(now)

    def leader(self, now: float) -> InstanceName | None:
        """Return the name of the leader that this member hears."""
        if not lease.hears_leader(self.raft, now):
            return None
        return InstanceName(name_of(self.raft.leader_id)) or None

    def is_idle(self) -> bool:
        """Tell whether no submit waits for its outcome."""
        return not self.submits and not self.applier.waiting_by_index

    def leads(self) -> bool:
        """Tell whether this member leads and holds all that is committed."""
        leadership = self.raft.leadership
        if leadership is None:
            return False
        return self.applier.applied_index >= leadership.first_index

    def _propose(self, now: float) -> None:
        submits = self.submits
        if not submits:
            return
        self.submits = []
        message = Propose(tuple(each.payload for each in submits))
        proposed = propose(self.raft, message, now)
        if proposed.is_error():
            for refused in submits:
                refused.settled.errback(NotLeaderError(self.leader(now)))
            return
        term = self.raft.ballot.term
        for index, taken in enumerate(submits, start=proposed.ok):
            self.applier.wait(index, term, taken.settled)

    def _take_snapshot(self) -> None:
        held = self.raft.snapshot
        covered = 0 if held is None else held.head.index
        if self.applier.applied_index < covered + self.snapshot_entries:
            return
        content = dump_state(self.applier.state)
        snapshot = snapshots.create_snapshot(self.raft, content)
        self.store.save_snapshot(snapshot)
        snapshots.adopt_snapshot(self.raft, snapshot, KEPT_ENTRIES)
        _log.event(
            'took snapshot',
            index=snapshot.head.index,
            size=len(content),
        )

    def _settle_waiting(self, now: float) -> None:
        if self.raft.leadership is None:
            self.applier.abandon()
            self.barriers.refuse(self.leader(now))
        elif self.leads():
            self.barriers.settle(lease.quorum_contact_at(self.raft, now))


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
        'recovered',
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
    """Give each member a period of its own, so that not all block at once."""
    names = [member.name for member in section.members]
    position = names.index(name) if name in names else 0
    entries = section.snapshot_entries
    return entries + entries * position // (STAGGER_SHARE * len(names))
