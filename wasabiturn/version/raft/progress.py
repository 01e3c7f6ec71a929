"""Contact of the leader with one other member."""

from wasabiturn.messages.raft import AppendReply, SnapshotReply
from wasabiturn.version.raft.state import Progress


def note_contact(
    progress: Progress,
    reply: AppendReply | SnapshotReply,
) -> None:
    """Note which message of the leader a member has acknowledged."""
    progress.acknowledged_sent_at = max(
        progress.acknowledged_sent_at,
        reply.sent_at,
    )
    progress.stamp = reply.stamp
    progress.life = reply.life
