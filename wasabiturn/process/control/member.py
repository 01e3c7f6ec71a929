"""Running member: the consensus core, its store, peers and state machine.

``flush`` makes everything that was stepped durable with one save. Only then
messages are sent and committed entries are applied.
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
from wasabiturn.process.control.barriers import ReadBarriers
from wasabiturn.process.control.loop_delay import LoopDelay, report_step_down
from wasabiturn.process.control.peers import Peers
from wasabiturn.process.control.snapshot_schedule import SnapshotSchedule
from wasabiturn.process.control.snapshot_taker import SnapshotTaker
from wasabiturn.utils.logs import create_component_log
from wasabiturn.version.raft import lease
from wasabiturn.version.raft.core import (
    Propose,
    Tick,
    create_raft,
    propose,
    take_effects,
)
from wasabiturn.version.raft.membership import name_of
from wasabiturn.version.raft.state import Effects, GroupRules, RaftState
from wasabiturn.version.replica import CommandTooLargeError, NotLeaderError
from wasabiturn.version.storage import Store, open_store

TICK_SECONDS = 0.05
MAX_COMMAND_BYTES = 4 * 1024 * 1024
STAGGER_DIVISOR = 4
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
    snapshot_taker: SnapshotTaker
    # Effects that found no room on the disk. Until they are saved, this member
    # steps nothing and sends nothing, as if the disk hung.
    unsaved_effects: Effects | None = None
    loop_delay: LoopDelay = attrs.field(factory=lambda: LoopDelay(TICK_SECONDS))
    barriers: ReadBarriers = attrs.field(factory=ReadBarriers)
    pending_commands: list[_PendingCommand] = attrs.field(factory=list)

    @property
    def has_leadership(self) -> bool:
        """Return whether this member was elected in its term."""
        return self.raft.leadership is not None

    def create_tick(self, memberless_names: frozenset[str], now: float) -> Tick:
        """Return the request to run the timers that are due."""
        return Tick(
            memberless_names=memberless_names,
            late_seconds=self.loop_delay.measure(now),
        )

    def report_step_down(self) -> None:
        """Tell why this member has stepped down in the newest tick."""
        report_step_down(self.loop_delay.late_seconds)

    def submit(self, command: Command, now: float) -> Deferred[Outcome]:
        """Add a command to the next flush; fires with its outcome."""
        if not self.has_leadership or self.is_stalled():
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
        unsaved = self.unsaved_effects
        if unsaved is not None:
            self.snapshot_taker.make_room(unsaved, now)
            self._carry_out(unsaved, now)
            self.snapshot_taker.record_room()

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
            self.snapshot_taker.record_received(effects.snapshot)
        self.applier.apply(effects.committed)
        self.snapshot_taker.take_if_due()
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
        snapshot_taker=SnapshotTaker(
            raft=raft,
            store=store,
            applier=applier,
            schedule=_create_schedule(section, name, raft),
        ),
    )


def _create_schedule(
    section: ControlSection, name: InstanceName, raft: RaftState
) -> SnapshotSchedule:
    """Return the schedule of snapshots, staggered over the members.

    Taking a snapshot blocks a member, so not all may do it at once.
    """
    names = [member.name for member in section.members]
    position = names.index(name) if name in names else 0
    stagger = 1 + position / (STAGGER_DIVISOR * len(names))
    schedule = SnapshotSchedule(
        entry_period=int(section.snapshot_entries * stagger),
        byte_period=int(section.snapshot_bytes * stagger),
    )
    if raft.snapshot is not None:
        schedule.record_taken(raft.snapshot.head.index, appended_bytes=0)
    return schedule
