"""Members, voters and quorums."""

from wasabiturn.messages.codec import unpack
from wasabiturn.messages.kinds import EntryKind
from wasabiturn.messages.raft import Entry, Envelope, Membership
from wasabiturn.version.raft.state import IndexedMembership, RaftState


def name_of(member_id: str) -> str:
    """Return the instance name of a member id."""
    return member_id.partition('/')[0]


def is_for_this_member(state: RaftState, envelope: Envelope) -> bool:
    """Return whether a message is addressed to this incarnation.

    An introduction may name just the instance: its sender cannot know the
    incarnation.
    """
    name, _, incarnation = envelope.receiver.partition('/')
    if name != name_of(state.member_id):
        return False
    if not incarnation:
        return envelope.introduce is not None
    return envelope.receiver == state.member_id


def current(state: RaftState) -> Membership:
    """Return the newest membership in the log, committed or not."""
    if state.memberships:
        return state.memberships[-1].membership
    return Membership()


def voters(state: RaftState) -> list[str]:
    """Return the ids of the voters."""
    return [
        member.member_id for member in current(state).members if member.voter
    ]


def peers(state: RaftState) -> list[str]:
    """Return the ids of all other members, including learners."""
    return [
        member.member_id
        for member in current(state).members
        if member.member_id != state.member_id
    ]


def is_voter(state: RaftState) -> bool:
    """Return whether this member has a vote."""
    return state.member_id in voters(state)


def is_quorum(state: RaftState, ids: set[str]) -> bool:
    """Return whether ``ids`` include a majority of the voters."""
    all_voters = voters(state)
    present = sum(voter in ids for voter in all_voters)
    return present > len(all_voters) // 2


def quorum_value(state: RaftState, value_by_id: dict[str, float]) -> float:
    """Return the largest value that a majority of the voters has reached."""
    reached = sorted(
        (value_by_id[voter] for voter in voters(state)),
        reverse=True,
    )
    return reached[len(reached) // 2]


def adopt_membership(state: RaftState, entry: Entry) -> None:
    """Use the membership of an entry as soon as it is in the log."""
    if entry.kind is EntryKind.membership:
        membership = unpack(Membership, entry.payload)
        state.memberships.append(IndexedMembership(entry.index, membership))


def discard_memberships_from(state: RaftState, first: int) -> None:
    """Drop memberships whose entries were truncated."""
    state.memberships = [
        indexed for indexed in state.memberships if indexed.index < first
    ]


def membership_at(state: RaftState, index: int) -> Membership:
    """Return the membership that was in use at ``index``."""
    found = Membership()
    for indexed in state.memberships:
        if indexed.index <= index:
            found = indexed.membership
    return found
