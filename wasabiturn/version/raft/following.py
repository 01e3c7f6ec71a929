"""Replication on a follower or learner."""

from wasabiturn.messages.raft import (
    AppendReply,
    AppendRequest,
    Entry,
    Envelope,
)
from wasabiturn.version.raft import membership
from wasabiturn.version.raft.log import InvariantError
from wasabiturn.version.raft.state import RaftState, send


def handle_append_request(
    state: RaftState,
    request: AppendRequest,
    envelope: Envelope,
    now: float,
) -> None:
    """Append entries that continue the log, and reply to the leader.

    The caller has already made this member a follower of the sender.
    """
    accepted = _matches_log(state, request)
    match_index = _retry_index(state, request)
    if accepted:
        match_index = request.previous_index + len(request.entries)
        _merge_entries(state, request.entries)
        committed = min(request.commit_index, match_index)
        state.commit_index = max(state.commit_index, committed)
        _update_freshness(state, request)
    reply = AppendReply(
        accepted=accepted,
        match_index=match_index,
        sent_at=request.sent_at,
        stamp=now,
        life=state.life,
    )
    send(state, Envelope(receiver=envelope.sender, append_reply=reply))


def refuse_stale_leader(state: RaftState, leader_id: str) -> None:
    """Reply to a leader of an older term so that it steps down."""
    reply = AppendReply(accepted=False)
    send(state, Envelope(receiver=leader_id, append_reply=reply))


def _matches_log(state: RaftState, request: AppendRequest) -> bool:
    if request.previous_index < state.log.offset:
        return False
    held = state.log.term_at(request.previous_index)
    return held == request.previous_term


def _retry_index(state: RaftState, request: AppendRequest) -> int:
    """Return the newest entry that the leader's log may hold as well.

    If an entry differs, those that are committed certainly don't. Each step
    back costs the leader all entries from there on, so there are two at most.
    """
    if request.previous_index > state.log.last_index:
        return max(state.commit_index, state.log.last_index)
    return state.commit_index


def _merge_entries(state: RaftState, entries: list[Entry]) -> None:
    for entry in entries:
        held = state.log.term_at(entry.index)
        if held == entry.term:
            continue
        if held is not None:
            _truncate_log(state, entry.index)
        state.log.entries.append(entry)
        state.unsaved.mark_entries(entry.index)
        membership.adopt_membership(state, entry)


def _truncate_log(state: RaftState, first: int) -> None:
    if first <= state.commit_index:
        raise InvariantError(
            f'{state.member_id}: committed entry {first} differs from the '
            "leader's log",
        )
    state.log.truncate(first)
    membership.discard_memberships_from(state, first)


def _update_freshness(state: RaftState, request: AppendRequest) -> None:
    """Record how recent the state is, on this member's own clock.

    The leader echoes a timestamp of this member. It sent this request after
    that time, held its lease when it sent it, and had committed no entry after
    ``commit_index``.
    """
    if not request.confirmed or request.echoed_life != state.life:
        return
    if state.commit_index >= request.commit_index:
        state.fresh_as_of = max(state.fresh_as_of, request.echoed_stamp)
