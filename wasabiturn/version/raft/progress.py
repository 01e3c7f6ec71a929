"""Acknowledgements of one member, as the leader records them."""

from wasabiturn.messages.raft import AppendReply, SnapshotReply
from wasabiturn.version.raft.state import Progress


def record_acknowledgement(
    progress: Progress,
    reply: AppendReply | SnapshotReply,
) -> None:
    """Record which message of the leader a member has acknowledged."""
    progress.acknowledged_sent_at = max(
        progress.acknowledged_sent_at,
        reply.sent_at,
    )
    progress.stamp = reply.stamp
    progress.life = reply.life
