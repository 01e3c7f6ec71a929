"""Leadership transfer by a leader that is about to stop."""

from wasabiturn.messages.raft import Envelope, TransferLeadership
from wasabiturn.version.raft import election, membership
from wasabiturn.version.raft.state import Leadership, RaftState, send
from wasabiturn.version.raft.timing import ELECTION_TIMEOUT_SECONDS


def transfer_leadership(state: RaftState, now: float) -> bool:
    """Hand leadership to a voter that holds the whole log, if there is one.

    The message is sent only after this member has stopped leading. A copy that
    arrives late is ignored: the receiver must still be in the term it names.
    Return whether leadership was given up.
    """
    leadership = state.leadership
    if leadership is None:
        return False
    successor = _find_successor(state, leadership, now)
    if successor is None:
        return False
    election.become_follower(state, state.ballot.term, '', now)
    message = TransferLeadership()
    send(state, Envelope(receiver=successor, transfer_leadership=message))
    return True


def handle_transfer(state: RaftState, now: float) -> None:
    """Start an election at once, as the leader that steps down asks."""
    if membership.is_voter(state) and state.leadership is None:
        election.start_election(state, now, transfer=True)


def _find_successor(
    state: RaftState,
    leadership: Leadership,
    now: float,
) -> str | None:
    for voter in membership.voters(state):
        progress = leadership.progress_by_id.get(voter)
        if progress is None or progress.match_index < state.log.last_index:
            continue
        if now < progress.acknowledged_sent_at + ELECTION_TIMEOUT_SECONDS:
            return voter
    return None
