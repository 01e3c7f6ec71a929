"""State of one member of the cluster."""

import enum
from random import Random
from typing import final

import attrs

from wasabiturn.messages.raft import (
    Ballot,
    Entry,
    Envelope,
    Membership,
    SnapshotHead,
)
from wasabiturn.version.raft.log import Log
from wasabiturn.version.raft.timing import NEVER


@final
class RaftRole(enum.Enum):
    """What a member does in its term."""

    follower = 'follower'
    pre_candidate = 'pre-candidate'
    candidate = 'candidate'
    leader = 'leader'


@final
@attrs.define
class Progress:
    """What the leader knows of one other member; times are in its clock."""

    next_index: int
    match_index: int = 0
    acknowledged_sent_at: float = NEVER
    stamp: float = NEVER
    life: int = 0
    snapshot_index: int = 0
    snapshot_offset: int = 0
    snapshot_sent_at: float = NEVER


@final
@attrs.define
class Leadership:
    """What a member keeps only while it leads."""

    since: float
    first_index: int
    progress_by_id: dict[str, Progress] = attrs.field(factory=dict)
    next_heartbeat_at: float = NEVER


@final
@attrs.frozen
class PlacedMembership:
    """Membership and the index of the entry that set it."""

    index: int
    membership: Membership


@final
@attrs.frozen
class Snapshot:
    """State of the state machine after the entry at ``head.index``."""

    head: SnapshotHead
    content: bytes


@final
@attrs.define
class Recovered:
    """What storage held when the process started."""

    ballot: Ballot = attrs.field(factory=Ballot)
    snapshot: Snapshot | None = None
    entries: list[Entry] = attrs.field(factory=list)


@final
@attrs.define
class IncomingSnapshot:
    """Snapshot of which some bytes have arrived."""

    head: SnapshotHead
    content: bytearray = attrs.field(factory=bytearray)


@final
@attrs.define
class Introduction:
    """Newest introduction of an instance by a member without vote."""

    member_id: str
    heard_at: float
    initialised: bool = False


@final
@attrs.define
class Unsaved:
    """What must be durable before any message leaves."""

    ballot: bool = False
    first_index: int | None = None
    snapshot: Snapshot | None = None

    def mark_entries(self, first: int) -> None:
        """Note that the entries from ``first`` on are not durable."""
        if self.first_index is None or first < self.first_index:
            self.first_index = first


@final
@attrs.define
class Effects:
    """What the driver does after a step, in this order.

    Save snapshot, ballot and entries with one fsync; send the messages;
    restore the snapshot into the state machine; apply the committed entries.
    """

    ballot: Ballot | None
    entries: list[Entry]
    snapshot: Snapshot | None
    messages: list[Envelope]
    committed: list[Entry]


@final
@attrs.frozen
class GroupRules:
    """How the group forms and changes.

    A closed group has just the instances that the settings name as members. An
    open one, whose settings name a few to ask, takes in every instance that
    introduces itself; ``voters`` of its members vote, 0 for a closed group.
    Only a member that ``may_found`` begins a group.
    """

    voters: int = 0
    may_found: bool = True

    @property
    def is_open(self) -> bool:
        """Tell whether instances that the settings do not name may join."""
        return self.voters > 0


@final
@attrs.define
class RaftState:
    """State of one member; ``member_id`` is ``name/incarnation``."""

    member_id: str
    names: tuple[str, ...]
    random: Random
    life: int
    rules: GroupRules = attrs.field(factory=GroupRules)
    ballot: Ballot = attrs.field(factory=Ballot)
    log: Log = attrs.field(factory=Log)
    snapshot: Snapshot | None = None
    memberships: list[PlacedMembership] = attrs.field(factory=list)
    commit_index: int = 0
    emitted_index: int = 0
    role: RaftRole = RaftRole.follower
    leader_id: str = ''
    heard_leader_at: float = NEVER
    election_at: float = 0.0
    votes: set[str] = attrs.field(factory=set)
    leadership: Leadership | None = None
    fresh_as_of: float = NEVER
    incoming: IncomingSnapshot | None = None
    told_names: set[str] = attrs.field(factory=set)
    introductions_by_name: dict[str, Introduction] = attrs.field(factory=dict)
    next_introduction_at: float = NEVER
    unsaved: Unsaved = attrs.field(factory=Unsaved)
    outbox: list[Envelope] = attrs.field(factory=list)


def send(state: RaftState, envelope: Envelope) -> None:
    """Queue ``envelope``, stamped with cluster, sender and term."""
    envelope.cluster = state.ballot.cluster
    envelope.sender = state.member_id
    envelope.term = state.ballot.term
    state.outbox.append(envelope)


def set_term(state: RaftState, term: int, voted_for: str) -> None:
    """Enter ``term``, or record the vote in it."""
    state.ballot.term = term
    state.ballot.voted_for = voted_for
    state.unsaved.ballot = True
