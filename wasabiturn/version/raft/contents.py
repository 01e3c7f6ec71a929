"""Content types of an envelope between members."""

from wasabiturn.messages import raft as messages
from wasabiturn.messages.raft import Envelope

Content = (
    messages.VoteRequest
    | messages.VoteReply
    | messages.AppendRequest
    | messages.AppendReply
    | messages.SnapshotChunk
    | messages.SnapshotReply
    | messages.Introduce
    | messages.Introduced
    | messages.TransferLeadership
)


def content_of(envelope: Envelope) -> Content | None:
    """Return the content of an envelope, or ``None`` if it is unknown."""
    contents = (
        envelope.append_request,
        envelope.append_reply,
        envelope.vote_request,
        envelope.vote_reply,
        envelope.snapshot_chunk,
        envelope.snapshot_reply,
        envelope.introduce,
        envelope.introduced,
        envelope.transfer_leadership,
    )
    return next((each for each in contents if each is not None), None)
