"""Consensus core: steps of one member, without I/O.

``step`` changes the state and queues what must be saved and sent.
``take_effects`` returns the queue to the driver, which must make all of it
durable before it sends any message.
"""

from functools import singledispatch
from random import Random
from typing import final

import attrs
from expression import Error, Ok, Result

from wasabiturn.messages.kinds import EntryKind
from wasabiturn.messages.raft import Entry, Envelope
from wasabiturn.version.raft import (
    contacts,
    election,
    introduction,
    lease,
    membership,
    reconfiguration,
    replication,
    snapshots,
)
from wasabiturn.version.raft.dispatch import receive
from wasabiturn.version.raft.state import (
    Effects,
    GroupRules,
    RaftState,
    Recovered,
    Unsaved,
)
from wasabiturn.version.raft.timing import (
    CHECK_QUORUM_SECONDS,
    ELECTION_TIMEOUT_SECONDS,
)

_LIFE_BITS = 62


@final
@attrs.frozen
class Tick:
    """Request to run the timers that are due.

    ``memberless_names`` are the instances that answer but run no member.
    ``late_seconds`` is by how much the loop has missed its time.
    """

    memberless_names: frozenset[str] = frozenset()
    late_seconds: float = 0


@final
@attrs.frozen
class Contacts:
    """Names of members that the instance ``lister`` knows."""

    names: tuple[str, ...]
    lister: str = ''


@final
@attrs.frozen
class Propose:
    """Request to commit packed commands in order, with one save."""

    payloads: tuple[bytes, ...]


@final
@attrs.frozen
class NotLeader:
    """Rejection of a proposal by a member that does not lead."""

    leader_id: str


def create_raft(
    member_id: str,
    names: tuple[str, ...],
    recovered: Recovered,
    random: Random,
    now: float,
    rules: GroupRules | None = None,
) -> RaftState:
    """Create a member from its recovered storage.

    A member with a stored ballot may have acknowledged a leader just before it
    stopped, so it refuses votes for one election timeout.
    """
    state = RaftState(
        member_id=member_id,
        names=names,
        random=random,
        life=random.getrandbits(_LIFE_BITS),
        rules=rules or GroupRules(),
        ballot=recovered.ballot,
    )
    if recovered.snapshot is not None:
        head = recovered.snapshot.head
        state.log.reset(head.index, head.term)
        state.commit_index = head.index
        state.emitted_index = head.index
        snapshots.adopt_snapshot(
            state, recovered.snapshot, kept_entries=0, kept_bytes=0
        )
    for entry in recovered.entries:
        state.log.entries.append(entry)
        membership.adopt_membership(state, entry)
    if recovered.ballot.cluster:
        state.heard_leader_at = now
    election.reset_election_timer(state, now)
    return state


@singledispatch
def step(message: object, state: RaftState, now: float) -> None:
    """Apply ``message`` to ``state`` at ``now``, in loop seconds.

    Raises:
        TypeError: no handler is registered for the type of ``message``.
    """
    raise TypeError(f'no consensus handler for {type(message).__name__}')


@step.register
def _(message: Tick, state: RaftState, now: float) -> None:
    state.memberless_names = message.memberless_names
    introduction.introduce(state, now)
    if state.leadership is not None:
        _tick_leader(state, message.late_seconds, now)
    elif lease.may_campaign(state, now):
        election.start_pre_vote(state, now)


@step.register
def _(message: Contacts, state: RaftState, now: float) -> None:
    contacts.record_list(state, message.names, message.lister, now)


@step.register
def _(message: Envelope, state: RaftState, now: float) -> None:
    receive(message, state, now)


def propose(
    state: RaftState,
    message: Propose,
    now: float,
) -> Result[int, NotLeader]:
    """Append commands as the leader; return the index of the first."""
    if state.leadership is None:
        return Error(NotLeader(state.leader_id))
    entries = [
        Entry(kind=EntryKind.command, payload=payload)
        for payload in message.payloads
    ]
    last = replication.append(state, entries)
    replication.broadcast(state, now)
    return Ok(last - len(entries) + 1)


def take_effects(state: RaftState) -> Effects:
    """Return the queued work of the driver and clear the queue."""
    unsaved = state.unsaved
    entries: list[Entry] = []
    if unsaved.first_index is not None:
        last = state.log.last_index
        entries = state.log.between(unsaved.first_index, last)
    committed = state.log.between(state.emitted_index + 1, state.commit_index)
    effects = Effects(
        ballot=attrs.evolve(state.ballot) if unsaved.ballot else None,
        entries=entries,
        snapshot=unsaved.snapshot,
        messages=state.outbox,
        committed=committed,
    )
    state.unsaved = Unsaved()
    state.outbox = []
    state.emitted_index = state.commit_index
    return effects


def _tick_leader(state: RaftState, late_seconds: float, now: float) -> None:
    leadership = state.leadership
    if leadership is None:
        return
    contact = max(leadership.since, lease.quorum_contact_at(state, now))
    if now > contact + CHECK_QUORUM_SECONDS:
        election.become_follower(state, state.ballot.term, '', now)
        if late_seconds >= ELECTION_TIMEOUT_SECONDS:
            election.leave_turn_to_others(state, now)
        return
    reconfiguration.propose_membership_change(state, now)
    if now >= leadership.next_heartbeat_at:
        replication.broadcast(state, now)
