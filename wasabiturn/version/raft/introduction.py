"""Introduction of members that have no vote.

A member whose data folder was empty belongs to no cluster and introduces
itself to every instance that the settings name. If one of them has a cluster,
this member's disk was lost or replaced, and the leader adds the member to that
cluster. Else one of them founds it (``founding``).

In an open group a voter that hears no leader introduces itself too: it may
have been replaced while it was away.
"""

from wasabiturn.messages.raft import Envelope, Introduce, Introduced
from wasabiturn.version.raft import contacts, founding, membership
from wasabiturn.version.raft.lease import hears_leader
from wasabiturn.version.raft.state import (
    Introduction,
    RaftState,
    send,
)
from wasabiturn.version.raft.timing import INTRODUCTION_INTERVAL_SECONDS


def introduce(state: RaftState, now: float) -> None:
    """Send introductions if they are due; found the cluster if allowed."""
    if now < state.next_introduction_at or not _must_introduce(state, now):
        return
    state.next_introduction_at = now + INTRODUCTION_INTERVAL_SECONDS
    for name in contacts.list_other_names(state):
        envelope = Envelope(receiver=f'{name}/', introduce=Introduce())
        send(state, envelope)
    if founding.may_found(state, now):
        founding.found(state, now)


def _must_introduce(state: RaftState, now: float) -> bool:
    if not membership.is_voter(state):
        return True
    return state.rules.is_open and not hears_leader(state, now)


def handle_introduce(state: RaftState, envelope: Envelope, now: float) -> None:
    """Record the sender, and reply whether this member has a cluster."""
    _record_introduction(
        state, envelope.sender, now, initialised=envelope.cluster != ''
    )
    reply = Introduced(
        initialised=state.ballot.cluster != '',
        names=contacts.list_member_names(state),
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
