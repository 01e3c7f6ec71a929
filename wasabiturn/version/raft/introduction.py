"""Founding of a cluster, and introduction of members that have no vote.

A member whose data folder was empty belongs to no cluster and introduces
itself to every instance that the settings name. The first of them founds the
cluster once all others have answered that they have no cluster either. If one
of them has, this member's disk was lost or replaced, and the leader adds the
member to that cluster.

In an open group a voter that hears no leader introduces itself too: it may
have been replaced while it was away.
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
from wasabiturn.version.raft.timing import INTRODUCTION_INTERVAL_SECONDS

FOUNDING_TERM = 1
INTRODUCTION_VALID_SECONDS = 2.0


def introduce(state: RaftState, now: float) -> None:
    """Send introductions if they are due; found the cluster if allowed."""
    if now < state.next_introduction_at or not _must_introduce(state, now):
        return
    state.next_introduction_at = now + INTRODUCTION_INTERVAL_SECONDS
    for name in _other_names(state):
        envelope = Envelope(receiver=f'{name}/', introduce=Introduce())
        send(state, envelope)
    if _may_found_cluster(state, now):
        _found_cluster(state, now)


def _must_introduce(state: RaftState, now: float) -> bool:
    if not membership.is_voter(state):
        return True
    return state.rules.is_open and not hears_leader(state, now)


def handle_introduce(state: RaftState, envelope: Envelope, now: float) -> None:
    """Record the sender, and reply whether this member has a cluster."""
    _record_introduction(state, envelope.sender, now, initialised=False)
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
    """Record whether the sender has a cluster, and which names it reports."""
    if state.rules.is_open:
        state.reported_names.update(reply.names)
    _record_introduction(state, envelope.sender, now, reply.initialised)


def _record_introduction(
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
        names.update(dict.fromkeys(sorted(state.reported_names)))
    return [name for name in names if name != own]


def _member_names(state: RaftState) -> list[str]:
    members = membership.current(state).members
    return [membership.name_of(member.member_id) for member in members]


def _may_found_cluster(state: RaftState, now: float) -> bool:
    if state.ballot.cluster or state.log.last_index:
        return False
    if not state.rules.may_found:
        return False
    candidates = _founder_names(state)
    own_name = membership.name_of(state.member_id)
    if not candidates or own_name != candidates[0]:
        return False
    return all(
        _is_uninitialised(state, name, now)
        for name in candidates
        if name != own_name
    )


def _founder_names(state: RaftState) -> list[str]:
    """Return the instances of the settings that run a member.

    All instances see the same ones, so the first of them founds the cluster.
    """
    names = dict.fromkeys((*state.names, *_other_names(state)))
    return [name for name in names if name not in state.memberless_names]


def _is_uninitialised(state: RaftState, name: str, now: float) -> bool:
    newest = state.introductions_by_name.get(name)
    if newest is None or newest.initialised:
        return False
    return now < newest.heard_at + INTRODUCTION_VALID_SECONDS


def _found_cluster(state: RaftState, now: float) -> None:
    others = [
        state.introductions_by_name[name].member_id
        for name in _founder_names(state)
        if name != membership.name_of(state.member_id)
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
    membership.adopt_membership(state, entry)
    state.election_due_at = now
