"""Leader lease, contact with a quorum, and freshness of the state."""

from wasabiturn.version.raft.membership import (
    is_voter,
    quorum_value,
    voters,
)
from wasabiturn.version.raft.state import RaftState
from wasabiturn.version.raft.timing import (
    CHECK_QUORUM_SECONDS,
    ELECTION_TIMEOUT_SECONDS,
    FRESHNESS_SECONDS,
    LEASE_SECONDS,
    NEVER,
)


def quorum_contact_at(state: RaftState, now: float) -> float:
    """Return the send time of the newest round that a quorum acknowledged."""
    leadership = state.leadership
    if leadership is None or not voters(state):
        return NEVER
    value_by_id = {
        member_id: progress.acknowledged_sent_at
        for member_id, progress in leadership.progress_by_id.items()
    }
    value_by_id[state.member_id] = now
    return quorum_value(state, value_by_id)


def holds_lease(state: RaftState, now: float) -> bool:
    """Return whether no other member can lead at ``now``.

    Return ``False`` also before this leader has committed an entry of its own
    term: until then it does not know which entries are committed.
    """
    leadership = state.leadership
    if leadership is None or state.commit_index < leadership.first_index:
        return False
    return now < quorum_contact_at(state, now) + LEASE_SECONDS


def is_fresh(state: RaftState, now: float) -> bool:
    """Return whether this member holds all entries committed 3 s ago."""
    return now < fresh_as_of(state, now) + FRESHNESS_SECONDS


def fresh_as_of(state: RaftState, now: float) -> float:
    """Return a time up to which this member holds all committed entries."""
    leadership = state.leadership
    if leadership is None:
        return state.fresh_as_of
    if state.commit_index < leadership.first_index:
        return state.fresh_as_of
    return quorum_contact_at(state, now)


def must_refuse_votes(state: RaftState, now: float) -> bool:
    """Return whether votes must be refused because a leader is active."""
    if state.leadership is not None:
        return True
    return now < state.heard_leader_at + ELECTION_TIMEOUT_SECONDS


def may_campaign(state: RaftState, now: float) -> bool:
    """Return whether this member may request votes."""
    due_at = max(state.election_due_at, state.leaves_turn_until)
    return (
        state.leadership is None
        and is_voter(state)
        and now >= due_at
        and not must_refuse_votes(state, now)
    )


def hears_leader(state: RaftState, now: float) -> bool:
    """Return whether this member leads or has recently heard its leader."""
    if state.leadership is not None:
        return True
    return now < state.heard_leader_at + CHECK_QUORUM_SECONDS
