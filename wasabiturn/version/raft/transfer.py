"""Transfer of leadership by a leader that stops."""

from wasabiturn.messages.raft import Envelope, TransferLeadership
from wasabiturn.version.raft import election, membership
from wasabiturn.version.raft.state import Leadership, RaftState, send
from wasabiturn.version.raft.timing import ELECTION_SECONDS


def transfer_leadership(state: RaftState, now: float) -> bool:
    """Give up the lease for a voter that holds the whole log, if one does.

    The message leaves only after this member has stopped to lead. A copy that
    arrives late is void: the receiver must be in the term that has ended.
    """
    leadership = state.leadership
    if leadership is None:
        return False
    successor = _find_successor(state, leadership, now)
    if successor is None:
        return False
    election.follow(state, state.ballot.term, '', now)
    message = TransferLeadership()
    send(state, Envelope(receiver=successor, transfer_leadership=message))
    return True


def handle_transfer(state: RaftState, now: float) -> None:
    """Stand for election at once."""
    if membership.is_voter(state) and state.leadership is None:
        election.start_vote(state, now, transfer=True)


def _find_successor(
    state: RaftState,
    leadership: Leadership,
    now: float,
) -> str | None:
    for voter in membership.voters(state):
        progress = leadership.progress_by_id.get(voter)
        if progress is None or progress.match_index < state.log.last_index:
            continue
        if now < progress.acknowledged_sent_at + ELECTION_SECONDS:
            return voter
    return None
