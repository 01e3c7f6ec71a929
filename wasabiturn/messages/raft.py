"""Messages of the consensus protocol, and records of the durable log.

Field numbers and units are in ``wire/raft.thrift``.
"""

from typing import final

import attrs

from wasabiturn.messages.codec import bind
from wasabiturn.messages.idl import load_idl
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
    """Cluster, term and vote of a member, made durable before it replies."""

    cluster: str = ''
    term: int = 0
    voted_for: str = ''


@bind(_idl)
@final
@attrs.define
class VoteRequest:
    """Ask for a vote or, with ``pre_vote``, whether one would be granted."""

    pre_vote: bool = False
    proposed_term: int = 0
    last_index: int = 0
    last_term: int = 0
    transfer: bool = False


@bind(_idl)
@final
@attrs.define
class TransferLeadership:
    """Ask the receiver to become leader; the sender has given up its lease."""


@bind(_idl)
@final
@attrs.define
class VoteReply:
    """Reply to a vote request."""

    pre_vote: bool = False
    proposed_term: int = 0
    granted: bool = False


@bind(_idl)
@final
@attrs.define
class AppendRequest:
    """Log entries from the leader, or a heartbeat if there are none."""

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
    """Reply to an append request.

    If it is refused, ``match_index`` tells from where to try again.
    """

    accepted: bool = False
    match_index: int = 0
    sent_at: float = 0.0
    stamp: float = 0.0
    life: int = 0


@bind(_idl)
@final
@attrs.define
class SnapshotChunk:
    """Part of a snapshot, for a member that lacks truncated log entries."""

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
    """Reply to a snapshot chunk, with the offset of the next one."""

    index: int = 0
    offset: int = 0
    sent_at: float = 0.0
    stamp: float = 0.0
    life: int = 0


@bind(_idl)
@final
@attrs.define
class Introduce:
    """Introduction of a member that has no cluster or no vote."""


@bind(_idl)
@final
@attrs.define
class Introduced:
    """Reply to an introduction."""

    initialised: bool = False
    names: list[str] = attrs.field(factory=list)


@bind(_idl)
@final
@attrs.define
class Envelope:
    """Message between members; exactly one optional field is set."""

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
    """Record of the durable log: all that one write saved."""

    ballot: Ballot | None = None
    entries: list[Entry] = attrs.field(factory=list)
    reset_index: int = 0


@bind(_idl)
@final
@attrs.define
class SnapshotHead:
    """Last log entry that a snapshot covers, and the membership there."""

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
