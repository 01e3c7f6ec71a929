"""Replication of entries from the leader to the other members."""

from wasabiturn.messages.raft import (
    AppendReply,
    AppendRequest,
    Entry,
    Envelope,
)
from wasabiturn.version.raft import membership
from wasabiturn.version.raft.lease import holds_lease
from wasabiturn.version.raft.progress import record_acknowledgement
from wasabiturn.version.raft.snapshots import send_chunk
from wasabiturn.version.raft.state import (
    Leadership,
    Progress,
    RaftState,
    send,
)
from wasabiturn.version.raft.timing import HEARTBEAT_INTERVAL_SECONDS

MAX_APPEND_BYTES = 1024 * 1024
MAX_ENTRIES_IN_FLIGHT = 4096
# What a member that answers slowly may have waiting for it on its link.
MAX_BYTES_IN_FLIGHT = 8 * 1024 * 1024


def append(state: RaftState, entries: list[Entry]) -> int:
    """Append entries to the log of the leader; return the last index."""
    for entry in entries:
        entry.term = state.ballot.term
        entry.index = state.log.last_index + 1
        state.log.entries.append(entry)
        state.unsaved.mark_entries(entry.index)
        membership.adopt_membership(state, entry)
    _track_new_peers(state)
    advance_commit(state)
    return state.log.last_index


def broadcast(state: RaftState, now: float) -> None:
    """Send every member the entries that it lacks, or else a heartbeat."""
    leadership = state.leadership
    if leadership is None:
        return
    leadership.next_heartbeat_at = now + HEARTBEAT_INTERVAL_SECONDS
    for peer in membership.peers(state):
        replicate(state, leadership, peer, now)


def replicate(
    state: RaftState,
    leadership: Leadership,
    peer: str,
    now: float,
) -> None:
    """Send one member the next entries, or a chunk of the snapshot."""
    progress = leadership.progress_by_id[peer]
    previous_index = progress.next_index - 1
    previous_term = state.log.term_at(previous_index)
    if previous_term is None:
        send_chunk(state, progress, peer, now)
        return
    entries = _choose_entries(state, progress)
    progress.next_index += len(entries)
    request = AppendRequest(
        previous_index=previous_index,
        previous_term=previous_term,
        entries=entries,
        commit_index=state.commit_index,
        sent_at=now,
        echoed_stamp=progress.stamp,
        echoed_life=progress.life,
        confirmed=holds_lease(state, now),
    )
    send(state, Envelope(receiver=peer, append_request=request))


def handle_append_reply(
    state: RaftState,
    reply: AppendReply,
    envelope: Envelope,
    now: float,
) -> None:
    """Record how far a member's log matches, and advance the commit index."""
    leadership = state.leadership
    if leadership is None:
        return
    progress = leadership.progress_by_id.get(envelope.sender)
    if progress is None:
        return
    record_acknowledgement(progress, reply)
    if reply.accepted:
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = max(
            progress.next_index,
            progress.match_index + 1,
        )
        advance_commit(state)
    else:
        retry_from = min(progress.next_index, reply.match_index + 1)
        progress.next_index = max(retry_from, progress.match_index + 1)
    if state.log.offset < progress.next_index <= state.log.last_index:
        replicate(state, leadership, envelope.sender, now)


def replication_lag(state: RaftState) -> dict[str, int]:
    """Return how many entries each member lacks; empty on a non-leader."""
    leadership = state.leadership
    if leadership is None:
        return {}
    lag_by_id = {
        member_id: state.log.last_index - progress.match_index
        for member_id, progress in leadership.progress_by_id.items()
    }
    lag_by_id[state.member_id] = 0
    return lag_by_id


def advance_commit(state: RaftState) -> None:
    """Commit the entries of this term that a quorum holds."""
    leadership = state.leadership
    if leadership is None or not membership.voters(state):
        return
    match_by_id: dict[str, float] = {
        member_id: progress.match_index
        for member_id, progress in leadership.progress_by_id.items()
    }
    match_by_id[state.member_id] = state.log.last_index
    index = int(membership.quorum_value(state, match_by_id))
    if state.log.term_at(index) == state.ballot.term:
        state.commit_index = max(state.commit_index, index)


def _track_new_peers(state: RaftState) -> None:
    leadership = state.leadership
    if leadership is None:
        return
    for peer in membership.peers(state):
        leadership.progress_by_id.setdefault(
            peer,
            Progress(next_index=state.log.last_index + 1),
        )


def _choose_entries(state: RaftState, progress: Progress) -> list[Entry]:
    in_flight = progress.next_index - progress.match_index
    if in_flight > MAX_ENTRIES_IN_FLIGHT:
        return []
    bytes_in_flight = state.log.size_between(
        progress.match_index + 1, progress.next_index - 1
    )
    if bytes_in_flight > MAX_BYTES_IN_FLIGHT:
        return []
    return state.log.read(progress.next_index, MAX_APPEND_BYTES)
