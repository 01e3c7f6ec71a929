"""Snapshots: creating one, and sending it to a member that lags behind."""

from wasabiturn.messages.raft import (
    Envelope,
    SnapshotChunk,
    SnapshotHead,
    SnapshotReply,
)
from wasabiturn.version.raft import membership
from wasabiturn.version.raft.log import InvariantError
from wasabiturn.version.raft.progress import record_acknowledgement
from wasabiturn.version.raft.state import (
    IncomingSnapshot,
    IndexedMembership,
    Progress,
    RaftState,
    Snapshot,
    send,
)
from wasabiturn.version.raft.timing import NEVER, SNAPSHOT_RETRY_SECONDS

CHUNK_BYTES = 1024 * 1024


def create_snapshot(state: RaftState, index: int, content: bytes) -> Snapshot:
    """Create a snapshot of the state machine after the entry at ``index``."""
    term = state.log.term_at(index)
    if term is None:
        raise InvariantError(
            f'cannot create a snapshot: entry {index} is not in the log',
        )
    head = SnapshotHead(
        index=index,
        term=term,
        membership=membership.membership_at(state, index),
    )
    return Snapshot(head=head, content=content)


def adopt_snapshot(
    state: RaftState,
    snapshot: Snapshot,
    kept_entries: int,
    kept_bytes: int,
) -> None:
    """Record a durable ``snapshot`` and compact the log.

    The newest entries that the snapshot covers stay in the log: up to
    ``kept_entries``, and only as many as fit in ``kept_bytes``.
    """
    state.snapshot = snapshot
    indexed = IndexedMembership(snapshot.head.index, snapshot.head.membership)
    newer = [
        other for other in state.memberships if other.index > indexed.index
    ]
    state.memberships = [indexed, *newer]
    kept = state.log.count_newest(snapshot.head.index, kept_entries, kept_bytes)
    state.log.compact(snapshot.head.index - kept)


def send_chunk(
    state: RaftState,
    progress: Progress,
    peer: str,
    now: float,
) -> None:
    """Send the next chunk of the snapshot, or an empty one as heartbeat."""
    snapshot = state.snapshot
    if snapshot is None:
        raise InvariantError(
            'the log was compacted, but there is no snapshot to send',
        )
    if progress.snapshot_index != snapshot.head.index:
        progress.snapshot_index = snapshot.head.index
        progress.snapshot_offset = 0
        progress.snapshot_sent_at = NEVER
    offset = progress.snapshot_offset
    content = b''
    if now >= progress.snapshot_sent_at + SNAPSHOT_RETRY_SECONDS:
        progress.snapshot_sent_at = now
        content = snapshot.content[offset : offset + CHUNK_BYTES]
    chunk = SnapshotChunk(
        index=snapshot.head.index,
        term=snapshot.head.term,
        membership=snapshot.head.membership,
        offset=offset,
        size=len(snapshot.content),
        content=content,
        sent_at=now,
    )
    send(state, Envelope(receiver=peer, snapshot_chunk=chunk))


def handle_snapshot_chunk(
    state: RaftState,
    chunk: SnapshotChunk,
    envelope: Envelope,
    now: float,
) -> None:
    """Store a chunk of a snapshot; install the snapshot once it is complete.

    The caller has already made this member a follower of the sender.
    """
    if state.log.term_at(chunk.index) == chunk.term:
        state.commit_index = max(state.commit_index, chunk.index)
    offset = chunk.size
    if chunk.index > state.commit_index:
        offset = _receive_chunk(state, chunk)
    reply = SnapshotReply(
        index=chunk.index,
        offset=offset,
        sent_at=chunk.sent_at,
        stamp=now,
        life=state.life,
    )
    send(state, Envelope(receiver=envelope.sender, snapshot_reply=reply))


def handle_snapshot_reply(
    state: RaftState,
    reply: SnapshotReply,
    envelope: Envelope,
    now: float,
) -> None:
    """Send the next chunk, or entries once the snapshot is installed."""
    leadership = state.leadership
    snapshot = state.snapshot
    if leadership is None or snapshot is None:
        return
    progress = leadership.progress_by_id.get(envelope.sender)
    if progress is None:
        return
    record_acknowledgement(progress, reply)
    if reply.index != progress.snapshot_index:
        return
    if reply.offset >= len(snapshot.content):
        progress.match_index = max(progress.match_index, reply.index)
        progress.next_index = max(progress.next_index, reply.index + 1)
    elif reply.offset != progress.snapshot_offset:
        progress.snapshot_offset = reply.offset
        progress.snapshot_sent_at = NEVER
        send_chunk(state, progress, envelope.sender, now)


def _receive_chunk(state: RaftState, chunk: SnapshotChunk) -> int:
    head = SnapshotHead(
        index=chunk.index,
        term=chunk.term,
        membership=chunk.membership,
    )
    incoming_snapshot = state.incoming_snapshot
    if incoming_snapshot is None or incoming_snapshot.head != head:
        incoming_snapshot = IncomingSnapshot(head=head)
        state.incoming_snapshot = incoming_snapshot
    if chunk.offset == len(incoming_snapshot.content):
        incoming_snapshot.content.extend(chunk.content)
    if len(incoming_snapshot.content) == chunk.size:
        _install_snapshot(
            state,
            Snapshot(head=head, content=bytes(incoming_snapshot.content)),
        )
        return chunk.size
    return len(incoming_snapshot.content)


def _install_snapshot(state: RaftState, snapshot: Snapshot) -> None:
    head = snapshot.head
    state.incoming_snapshot = None
    state.snapshot = snapshot
    state.memberships = [IndexedMembership(head.index, head.membership)]
    state.log.reset(head.index, head.term)
    state.commit_index = head.index
    state.emitted_index = head.index
    state.unsaved.first_index = None
    state.unsaved.snapshot = snapshot
