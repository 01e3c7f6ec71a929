"""Members, voters and quorums."""

from wasabiturn.messages.codec import unpack
from wasabiturn.messages.kinds import EntryKind
from wasabiturn.messages.raft import Entry, Envelope, Membership
from wasabiturn.version.raft.state import PlacedMembership, RaftState


def name_of(member_id: str) -> str:
    """Return the instance name in a member id."""
    return member_id.partition('/')[0]


def is_addressed(state: RaftState, envelope: Envelope) -> bool:
    """Tell whether a message is for this incarnation.

    An introduction may be for any: its sender cannot know this one.
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
    """Return the ids of all other members, learners too."""
    return [
        member.member_id
        for member in current(state).members
        if member.member_id != state.member_id
    ]


def is_voter(state: RaftState) -> bool:
    """Tell whether this member has a vote."""
    return state.member_id in voters(state)


def is_quorum(state: RaftState, ids: set[str]) -> bool:
    """Tell whether ``ids`` hold a majority of the voters."""
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


def adopt(state: RaftState, entry: Entry) -> None:
    """Take a membership entry into use as soon as it is in the log."""
    if entry.kind is EntryKind.membership:
        membership = unpack(Membership, entry.payload)
        state.memberships.append(PlacedMembership(entry.index, membership))


def forget_from(state: RaftState, first: int) -> None:
    """Drop memberships whose entries were truncated."""
    state.memberships = [
        placed for placed in state.memberships if placed.index < first
    ]


def membership_at(state: RaftState, index: int) -> Membership:
    """Return the membership that was in use at ``index``."""
    found = Membership()
    for placed in state.memberships:
        if placed.index <= index:
            found = placed.membership
    return found
