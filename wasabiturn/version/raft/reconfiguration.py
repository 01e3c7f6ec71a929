"""Membership changes, one voter at a time, proposed by the leader.

A new incarnation of an instance joins as a learner. Once it has caught up and
the old incarnation is silent, the leader commits the removal of the old voter
and then the promotion of the learner. An instance added to the settings joins
in the same way. A member whose instance is no longer in the settings is removed
once it is silent.

An open group keeps a fixed number of voters. A learner of another instance
replaces a voter only after the voter has been silent for longer than a pause
or a restart lasts. Silent learners are removed much later.
"""

from wasabiturn.messages.codec import pack
from wasabiturn.messages.kinds import EntryKind
from wasabiturn.messages.raft import Entry, Member, Membership
from wasabiturn.version.raft.membership import current, name_of, voters
from wasabiturn.version.raft.replication import append
from wasabiturn.version.raft.state import Leadership, RaftState
from wasabiturn.version.raft.timing import (
    CHECK_QUORUM_SECONDS,
    ELECTION_TIMEOUT_SECONDS,
)

MAX_LEARNER_LAG_ENTRIES = 256
# A voter that is silent for longer may be replaced by a learner.
VOTER_REPLACEMENT_SECONDS = 4.0
# A learner that is silent for longer is removed from an open group.
LEARNER_REMOVAL_SECONDS = 60.0


def propose_membership_change(state: RaftState, now: float) -> None:
    """Propose the next membership change, if one is due and none is pending."""
    leadership = state.leadership
    if leadership is None or state.commit_index < leadership.first_index:
        return
    if state.memberships[-1].index > state.commit_index:
        return
    changed = _next_members(state, leadership, now)
    if changed is not None:
        payload = pack(Membership(members=changed))
        append(state, [Entry(kind=EntryKind.membership, payload=payload)])


def _next_members(
    state: RaftState,
    leadership: Leadership,
    now: float,
) -> list[Member] | None:
    members = current(state).members
    new_member_id = _find_new_member(state, members, now)
    if new_member_id is not None:
        return _add_learner(members, new_member_id)
    for member in members:
        if member.voter or not _has_caught_up(state, leadership, member, now):
            continue
        proposed = _replace_or_promote(state, leadership, member, now)
        if proposed is not None or not state.rules.is_open:
            return proposed
    return _remove_departed(state, leadership, members, now)


def _remove_departed(
    state: RaftState,
    leadership: Leadership,
    members: list[Member],
    now: float,
) -> list[Member] | None:
    """Return the members without one that has left, if one has.

    In a closed group that is a silent member whose instance the settings no
    longer name; in an open group, a learner that has long been silent.
    """
    for member in members:
        if _may_remove(state, leadership, member, now):
            return [other for other in members if other is not member]
    return None


def _may_remove(
    state: RaftState,
    leadership: Leadership,
    member: Member,
    now: float,
) -> bool:
    if state.rules.is_open:
        silent = _silent_seconds(leadership, member, now)
        return not member.voter and silent > LEARNER_REMOVAL_SECONDS
    if name_of(member.member_id) in state.names:
        return False
    return _is_silent(leadership, member, now)


def _find_new_member(
    state: RaftState,
    members: list[Member],
    now: float,
) -> str | None:
    known = {member.member_id for member in members}
    for introduction in state.introductions_by_name.values():
        recent = now < introduction.heard_at + ELECTION_TIMEOUT_SECONDS
        if recent and introduction.member_id not in known:
            return introduction.member_id
    return None


def _add_learner(members: list[Member], new_member_id: str) -> list[Member]:
    """Add a learner and drop older learners of the same instance."""
    kept = [
        member
        for member in members
        if member.voter or name_of(member.member_id) != name_of(new_member_id)
    ]
    return [*kept, Member(member_id=new_member_id, voter=False)]


def _has_caught_up(
    state: RaftState,
    leadership: Leadership,
    member: Member,
    now: float,
) -> bool:
    progress = leadership.progress_by_id[member.member_id]
    recent = now < progress.acknowledged_sent_at + ELECTION_TIMEOUT_SECONDS
    lag = state.commit_index - progress.match_index
    return recent and lag <= MAX_LEARNER_LAG_ENTRIES


def _replace_or_promote(
    state: RaftState,
    leadership: Leadership,
    learner: Member,
    now: float,
) -> list[Member] | None:
    """Remove the voter that the learner replaces, or else promote it."""
    members = current(state).members
    old = _find_old_voter(members, learner)
    if old is None and _has_all_voters(state):
        old = _find_silent_voter(leadership, members, now)
        return old and [member for member in members if member is not old]
    if old is None:
        promoted = Member(member_id=learner.member_id, voter=True)
        return [promoted if each is learner else each for each in members]
    if not _is_silent(leadership, old, now):
        return None
    return [member for member in members if member is not old]


def _has_all_voters(state: RaftState) -> bool:
    return state.rules.is_open and len(voters(state)) >= state.rules.voters


def _find_silent_voter(
    leadership: Leadership,
    members: list[Member],
    now: float,
) -> Member | None:
    for member in members:
        if not member.voter:
            continue
        if _silent_seconds(leadership, member, now) > VOTER_REPLACEMENT_SECONDS:
            return member
    return None


def _find_old_voter(members: list[Member], learner: Member) -> Member | None:
    name = name_of(learner.member_id)
    for member in members:
        if member.voter and name_of(member.member_id) == name:
            return member
    return None


def _is_silent(leadership: Leadership, member: Member, now: float) -> bool:
    return _silent_seconds(leadership, member, now) > CHECK_QUORUM_SECONDS


def _silent_seconds(
    leadership: Leadership,
    member: Member,
    now: float,
) -> float:
    """Return how long a member has not answered; 0 for the leader."""
    progress = leadership.progress_by_id.get(member.member_id)
    if progress is None:
        return 0
    return now - max(leadership.since, progress.acknowledged_sent_at)
