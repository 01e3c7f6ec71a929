"""Handling of received envelopes: receiver, cluster and term, then content."""

from functools import singledispatch

from wasabiturn.messages import raft as messages
from wasabiturn.messages.raft import Envelope
from wasabiturn.version.raft import (
    election,
    following,
    introduction,
    replication,
    snapshots,
    transfer,
)
from wasabiturn.version.raft.contents import Content, content_of
from wasabiturn.version.raft.membership import is_for_this_member
from wasabiturn.version.raft.state import RaftState


def receive(envelope: Envelope, state: RaftState, now: float) -> None:
    """Handle the content of ``envelope`` if it is meant for this member."""
    content = content_of(envelope)
    if content is None or not is_for_this_member(state, envelope):
        return
    if _check_term(state, envelope, content, now):
        _handle(content, state, envelope, now)


def _check_term(
    state: RaftState,
    envelope: Envelope,
    content: Content,
    now: float,
) -> bool:
    """Adopt the sender's cluster and term.

    Return whether the content is to be handled.
    """
    if isinstance(content, messages.Introduce | messages.Introduced):
        return True
    if not _adopt_cluster(state, envelope):
        return False
    if isinstance(content, messages.VoteRequest):
        return True
    if envelope.term > state.ballot.term:
        election.become_follower(state, envelope.term, '', now)
    if isinstance(content, messages.AppendRequest | messages.SnapshotChunk):
        return _accept_leader(state, envelope, now)
    return envelope.term == state.ballot.term or isinstance(
        content, messages.VoteReply
    )


def _adopt_cluster(state: RaftState, envelope: Envelope) -> bool:
    if not state.ballot.cluster:
        state.ballot.cluster = envelope.cluster
        state.unsaved.ballot = True
    return state.ballot.cluster == envelope.cluster


def _accept_leader(state: RaftState, envelope: Envelope, now: float) -> bool:
    if envelope.term < state.ballot.term:
        following.refuse_stale_leader(state, envelope.sender)
        return False
    election.become_follower(state, envelope.term, envelope.sender, now)
    state.heard_leader_at = now
    return True


@singledispatch
def _handle(
    content: object,
    state: RaftState,
    envelope: Envelope,
    now: float,
) -> None:
    raise TypeError(f'no consensus handler for {type(content).__name__}')


@_handle.register
def _(
    content: messages.VoteRequest,
    state: RaftState,
    envelope: Envelope,
    now: float,
) -> None:
    election.handle_vote_request(state, content, envelope, now)


@_handle.register
def _(
    content: messages.VoteReply,
    state: RaftState,
    envelope: Envelope,
    now: float,
) -> None:
    election.handle_vote_reply(state, content, envelope, now)


@_handle.register
def _(
    content: messages.AppendRequest,
    state: RaftState,
    envelope: Envelope,
    now: float,
) -> None:
    following.handle_append_request(state, content, envelope, now)


@_handle.register
def _(
    content: messages.AppendReply,
    state: RaftState,
    envelope: Envelope,
    now: float,
) -> None:
    replication.handle_append_reply(state, content, envelope, now)


@_handle.register
def _(
    content: messages.SnapshotChunk,
    state: RaftState,
    envelope: Envelope,
    now: float,
) -> None:
    snapshots.handle_snapshot_chunk(state, content, envelope, now)


@_handle.register
def _(
    content: messages.SnapshotReply,
    state: RaftState,
    envelope: Envelope,
    now: float,
) -> None:
    snapshots.handle_snapshot_reply(state, content, envelope, now)


@_handle.register
def _(
    content: messages.Introduce,
    state: RaftState,
    envelope: Envelope,
    now: float,
) -> None:
    introduction.handle_introduce(state, envelope, now)


@_handle.register
def _(
    content: messages.Introduced,
    state: RaftState,
    envelope: Envelope,
    now: float,
) -> None:
    introduction.handle_introduced(state, content, envelope, now)


@_handle.register
def _(
    content: messages.TransferLeadership,
    state: RaftState,
    envelope: Envelope,
    now: float,
) -> None:
    transfer.handle_transfer(state, now)
