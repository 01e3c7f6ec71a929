"""Messages of consensus, and records of the durable log.

Field numbers and units are in ``wire/raft.thrift``.
"""

from typing import final

import attrs

from wasabiturn.messages.codec import bind, load_idl
from wasabiturn.messages.kinds import EntryKind

_idl = load_idl('raft.thrift')


@bind(_idl)
@final
@attrs.define
class Member:
    """One incarnation of a control instance; a learner has no vote."""

    member_id: str = ''
    voter: bool = False


@bind(_idl)
@final
@attrs.define
class Membership:
    """Members of the cluster."""

    members: list[Member] = attrs.field(factory=list)


@bind(_idl)
@final
@attrs.define
class Entry:
    """Entry of the replicated log."""

    term: int = 0
    index: int = 0
    kind: EntryKind = attrs.field(default=EntryKind.noop, converter=EntryKind)
    payload: bytes = b''


@bind(_idl)
@final
@attrs.define
class Ballot:
    """Cluster, term and vote of a member, durable before it answers."""

    cluster: str = ''
    term: int = 0
    voted_for: str = ''


@bind(_idl)
@final
@attrs.define
class VoteRequest:
    """Ask for a vote, or whether a vote would be granted."""

    pre_vote: bool = False
    proposed_term: int = 0
    last_index: int = 0
    last_term: int = 0
    transfer: bool = False


@bind(_idl)
@final
@attrs.define
class TransferLeadership:
    """Ask the receiver to lead: the sender has given up its lease."""


@bind(_idl)
@final
@attrs.define
class VoteReply:
    """Answer to a vote request."""

    pre_vote: bool = False
    proposed_term: int = 0
    granted: bool = False


@bind(_idl)
@final
@attrs.define
class AppendRequest:
    """Entries and heartbeat of the leader."""

    previous_index: int = 0
    previous_term: int = 0
    entries: list[Entry] = attrs.field(factory=list)
    commit_index: int = 0
    sent_at: float = 0.0
    echoed_stamp: float = 0.0
    confirmed: bool = False
    echoed_life: int = 0


@bind(_idl)
@final
@attrs.define
class AppendReply:
    """Answer to an append request; a refusal says where to try again."""

    accepted: bool = False
    match_index: int = 0
    sent_at: float = 0.0
    stamp: float = 0.0
    life: int = 0


@bind(_idl)
@final
@attrs.define
class SnapshotChunk:
    """Part of a snapshot for a member that lags behind the log."""

    index: int = 0
    term: int = 0
    membership: Membership = attrs.field(factory=Membership)
    offset: int = 0
    size: int = 0
    content: bytes = b''
    sent_at: float = 0.0


@bind(_idl)
@final
@attrs.define
class SnapshotReply:
    """Next byte that the receiver of a snapshot wants."""

    index: int = 0
    offset: int = 0
    sent_at: float = 0.0
    stamp: float = 0.0
    life: int = 0


@bind(_idl)
@final
@attrs.define
class Introduce:
    """First message of a member that has no cluster or no vote."""


@bind(_idl)
@final
@attrs.define
class Introduced:
    """Answer to an introduction."""

    initialised: bool = False
    names: list[str] = attrs.field(factory=list)


@bind(_idl)
@final
@attrs.define
class Envelope:
    """Message between members; one optional field is set."""

    cluster: str = ''
    sender: str = ''
    receiver: str = ''
    term: int = 0
    vote_request: VoteRequest | None = None
    vote_reply: VoteReply | None = None
    append_request: AppendRequest | None = None
    append_reply: AppendReply | None = None
    snapshot_chunk: SnapshotChunk | None = None
    snapshot_reply: SnapshotReply | None = None
    introduce: Introduce | None = None
    introduced: Introduced | None = None
    transfer_leadership: TransferLeadership | None = None


@bind(_idl)
@final
@attrs.define
class LogRecord:
    """One record of the durable log: what one batch saved."""

    ballot: Ballot | None = None
    entries: list[Entry] = attrs.field(factory=list)
    reset_index: int = 0


@bind(_idl)
@final
@attrs.define
class SnapshotHead:
    """Position in the log that a snapshot stands for."""

    index: int = 0
    term: int = 0
    membership: Membership = attrs.field(factory=Membership)


@bind(_idl)
@final
@attrs.define
class Identity:
    """Name and incarnation of the owner of a data folder."""

    name: str = ''
    incarnation: str = ''
