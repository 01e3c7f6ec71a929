"""First boot of a cluster, and introduction of a member without vote.

A member whose data folder was empty belongs to no cluster. It introduces
itself to every named instance. The first named instance founds the cluster
once every other one has answered that it has no cluster either; if one has,
this member's disk was lost or replaced, and the leader takes it in.

In an open group a voter that hears no leader introduces itself too: others may
have taken its place while it was away.
"""

from wasabiturn.messages.codec import pack
from wasabiturn.messages.kinds import EntryKind
from wasabiturn.messages.raft import (
    Entry,
    Envelope,
    Introduce,
    Introduced,
    Member,
    Membership,
)
from wasabiturn.version.raft import membership
from wasabiturn.version.raft.lease import hears_leader
from wasabiturn.version.raft.state import (
    Introduction,
    RaftState,
    send,
)
from wasabiturn.version.raft.timing import INTRODUCTION_SECONDS

FOUNDING_TERM = 1
INTRODUCTION_VALID_SECONDS = 2.0


def introduce(state: RaftState, now: float) -> None:
    """Introduce this member to all others while it has no vote."""
    if now < state.next_introduction_at or not _needs_others(state, now):
        return
    state.next_introduction_at = now + INTRODUCTION_SECONDS
    for name in _other_names(state):
        envelope = Envelope(receiver=f'{name}/', introduce=Introduce())
        send(state, envelope)
    if _may_found(state, now):
        _found(state, now)


def _needs_others(state: RaftState, now: float) -> bool:
    if not membership.is_voter(state):
        return True
    return state.rules.is_open and not hears_leader(state, now)


def handle_introduce(state: RaftState, envelope: Envelope, now: float) -> None:
    """Remember who introduced itself, and say whether there is a cluster."""
    _remember(state, envelope.sender, now, initialised=False)
    reply = Introduced(
        initialised=state.ballot.cluster != '',
        names=_member_names(state),
    )
    send(state, Envelope(receiver=envelope.sender, introduced=reply))


def handle_introduced(
    state: RaftState,
    reply: Introduced,
    envelope: Envelope,
    now: float,
) -> None:
    """Note whether another member belongs to a cluster, and whom it knows."""
    if state.rules.is_open:
        state.told_names.update(reply.names)
    _remember(state, envelope.sender, now, reply.initialised)


def _remember(
    state: RaftState,
    member_id: str,
    now: float,
    initialised: bool,
) -> None:
    name = membership.name_of(member_id)
    if state.rules.is_open or name in state.names:
        state.introductions_by_name[name] = Introduction(
            member_id=member_id,
            heard_at=now,
            initialised=initialised,
        )


def _other_names(state: RaftState) -> list[str]:
    own = membership.name_of(state.member_id)
    names = dict.fromkeys(state.names)
    if state.rules.is_open:
        names.update(dict.fromkeys(_member_names(state)))
        names.update(dict.fromkeys(sorted(state.told_names)))
    return [name for name in names if name != own]


def _member_names(state: RaftState) -> list[str]:
    members = membership.current(state).members
    return [membership.name_of(member.member_id) for member in members]


def _may_found(state: RaftState, now: float) -> bool:
    if state.ballot.cluster or state.log.last_index:
        return False
    if not state.rules.may_found:
        return False
    if membership.name_of(state.member_id) != state.names[0]:
        return False
    return all(_is_blank(state, name, now) for name in _other_names(state))


def _is_blank(state: RaftState, name: str, now: float) -> bool:
    heard = state.introductions_by_name.get(name)
    if heard is None or heard.initialised:
        return False
    return now < heard.heard_at + INTRODUCTION_VALID_SECONDS


def _found(state: RaftState, now: float) -> None:
    others = [
        state.introductions_by_name[name].member_id
        for name in _other_names(state)
    ]
    founded = Membership(
        members=[
            Member(member_id=member_id, voter=True)
            for member_id in (state.member_id, *others)
        ],
    )
    entry = Entry(
        term=FOUNDING_TERM,
        index=1,
        kind=EntryKind.membership,
        payload=pack(founded),
    )
    state.ballot.cluster = state.member_id
    state.ballot.term = FOUNDING_TERM
    state.unsaved.ballot = True
    state.log.entries.append(entry)
    state.unsaved.mark_entries(1)
    membership.adopt(state, entry)
    state.election_at = now
