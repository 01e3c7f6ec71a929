"""State of one member of a consensus group."""

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
    """Role of a member in its term."""

    follower = 'follower'
    pre_candidate = 'pre-candidate'
    candidate = 'candidate'
    leader = 'leader'


@final
@attrs.define
class Progress:
    """Replication progress of one other member, as the leader knows it.

    Times are on the clock of the leader, except ``stamp``, which the member
    sent. ``life`` identifies the process of the member that sent it.
    """

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
    """State that a member keeps only while it leads."""

    since: float
    # Index of the first entry that this leader appended in its term.
    first_index: int
    progress_by_id: dict[str, Progress] = attrs.field(factory=dict)
    next_heartbeat_at: float = NEVER


@final
@attrs.frozen
class IndexedMembership:
    """Membership and the index of the entry that set it."""

    index: int
    membership: Membership


@final
@attrs.frozen
class Snapshot:
    """Content of the state machine after the entry at ``head.index``."""

    head: SnapshotHead
    content: bytes


@final
@attrs.define
class Recovered:
    """State that storage held when the process started."""

    ballot: Ballot = attrs.field(factory=Ballot)
    snapshot: Snapshot | None = None
    entries: list[Entry] = attrs.field(factory=list)


@final
@attrs.define
class IncomingSnapshot:
    """Snapshot that has been received in part."""

    head: SnapshotHead
    content: bytearray = attrs.field(factory=bytearray)


@final
@attrs.define
class Introduction:
    """Newest introduction, or reply to one, from an instance."""

    member_id: str
    heard_at: float
    initialised: bool = False


@final
@attrs.define
class Unsaved:
    """State that must be durable before any message is sent."""

    ballot: bool = False
    first_index: int | None = None
    snapshot: Snapshot | None = None

    def mark_entries(self, first: int) -> None:
        """Record that the entries from ``first`` on are not durable."""
        if self.first_index is None or first < self.first_index:
            self.first_index = first


@final
@attrs.define
class Effects:
    """Work of the driver after a step, in this order.

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
    """How a group forms and changes its members.

    A closed group consists of the instances that the settings name. An open
    group accepts every instance that introduces itself; its settings name only
    a few instances to contact.
    """

    # Number of voters in an open group; 0 for a closed group.
    voters: int = 0
    # Whether this member may found the group.
    may_found: bool = True

    @property
    def is_open(self) -> bool:
        """Return whether instances that the settings do not name may join."""
        return self.voters > 0


@final
@attrs.define
class RaftState:
    """State of one member."""

    # ``name/incarnation``
    member_id: str
    # Instances that the settings name; in an open group, the seeds.
    names: tuple[str, ...]
    random: Random
    # Random id of this process; echoes of another process's stamps are ignored.
    life: int
    rules: GroupRules = attrs.field(factory=GroupRules)
    ballot: Ballot = attrs.field(factory=Ballot)
    log: Log = attrs.field(factory=Log)
    snapshot: Snapshot | None = None
    memberships: list[IndexedMembership] = attrs.field(factory=list)
    commit_index: int = 0
    # Last entry that the driver was given to apply.
    emitted_index: int = 0
    role: RaftRole = RaftRole.follower
    leader_id: str = ''
    heard_leader_at: float = NEVER
    election_due_at: float = 0.0
    # Until then the other voters may campaign first.
    leaves_turn_until: float = NEVER
    votes: set[str] = attrs.field(factory=set)
    leadership: Leadership | None = None
    fresh_as_of: float = NEVER
    incoming_snapshot: IncomingSnapshot | None = None
    # Instances that other members of an open group have reported.
    reported_names: set[str] = attrs.field(factory=set)
    # Seeds that have listed this member among those that they know, and since
    # when all have.
    listing_names: set[str] = attrs.field(factory=set)
    listed_at: float = NEVER
    # Instances that answered, but run no member.
    memberless_names: frozenset[str] = frozenset()
    introductions_by_name: dict[str, Introduction] = attrs.field(factory=dict)
    next_introduction_at: float = NEVER
    unsaved: Unsaved = attrs.field(factory=Unsaved)
    outbox: list[Envelope] = attrs.field(factory=list)


def send(state: RaftState, envelope: Envelope) -> None:
    """Queue ``envelope`` after setting its cluster, sender and term."""
    envelope.cluster = state.ballot.cluster
    envelope.sender = state.member_id
    envelope.term = state.ballot.term
    state.outbox.append(envelope)


def set_term(state: RaftState, term: int, voted_for: str) -> None:
    """Enter ``term``, or record the vote in it."""
    state.ballot.term = term
    state.ballot.voted_for = voted_for
    state.unsaved.ballot = True
