"""Replication on the side of a follower or learner."""

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
    """Append what fits the log and acknowledge it.

    The caller has already made this member a follower of the sender.
    """
    accepted = _fits(state, request)
    match_index = _retry_index(state, request)
    if accepted:
        match_index = request.previous_index + len(request.entries)
        _merge(state, request.entries)
        committed = min(request.commit_index, match_index)
        state.commit_index = max(state.commit_index, committed)
        _confirm(state, request)
    reply = AppendReply(
        accepted=accepted,
        match_index=match_index,
        sent_at=request.sent_at,
        stamp=now,
        life=state.life,
    )
    send(state, Envelope(receiver=envelope.sender, append_reply=reply))


def refuse_stale_leader(state: RaftState, leader_id: str) -> None:
    """Show a leader of an older term that its term has ended."""
    reply = AppendReply(accepted=False)
    send(state, Envelope(receiver=leader_id, append_reply=reply))


def _fits(state: RaftState, request: AppendRequest) -> bool:
    if request.previous_index < state.log.offset:
        return False
    held = state.log.term_at(request.previous_index)
    return held == request.previous_term


def _retry_index(state: RaftState, request: AppendRequest) -> int:
    before = min(state.log.last_index, request.previous_index - 1)
    return max(state.commit_index, before)


def _merge(state: RaftState, entries: list[Entry]) -> None:
    for entry in entries:
        held = state.log.term_at(entry.index)
        if held == entry.term:
            continue
        if held is not None:
            _truncate(state, entry.index)
        state.log.entries.append(entry)
        state.unsaved.mark_entries(entry.index)
        membership.adopt(state, entry)


def _truncate(state: RaftState, first: int) -> None:
    if first <= state.commit_index:
        raise InvariantError(
            f'{state.member_id}: entry {first} is committed and would change',
        )
    state.log.truncate(first)
    membership.forget_from(state, first)


def _confirm(state: RaftState, request: AppendRequest) -> None:
    """Note how fresh the state is, in this member's own clock.

    The leader echoes a stamp of this member. It sent this message later, held
    its lease then, and had committed no more than ``commit_index``.
    """
    if not request.confirmed or request.echoed_life != state.life:
        return
    if state.commit_index >= request.commit_index:
        state.fresh_as_of = max(state.fresh_as_of, request.echoed_stamp)
