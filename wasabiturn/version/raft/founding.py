"""Founding of a group by members that belong to none.

The first of the seeds that run a member founds the group once all others have
answered that they have none either. If no seed runs a member, those that the
seeds list take their place, in the order of their names. A seed lists each
member that has a link to it. So a member waits until each seed has listed it:
of two members, one at least then knows the other. Only the first of the members
that it knows founds the group, and it waits for the answers of all others.
"""

import enum
from typing import final

import attrs

from wasabiturn.messages.codec import pack
from wasabiturn.messages.kinds import EntryKind
from wasabiturn.messages.raft import Entry, Member, Membership
from wasabiturn.version.raft import contacts, membership
from wasabiturn.version.raft.state import Introduction, RaftState

FOUNDING_TERM = 1
INTRODUCTION_VALID_SECONDS = 2.0
# How long members that no settings name may take to be listed, until the group
# is founded with fewer voters than the settings ask for.
MORE_MEMBERS_WAIT_SECONDS = 3.0


@final
class Gap(enum.Enum):
    """What a member lacks to found or to join a group."""

    seeds = 'answers of seeds'
    lists = 'lists of members from seeds that run none'
    group = 'the leader of the group, to join it'
    permission = 'a group, or the right to found one'
    members = 'answers of members'
    turn = 'the member whose turn it is to found the group'
    wait = 'more members; the group is founded without them soon'


@final
@attrs.frozen
class Missing:
    """What a member lacks, and the instances that it concerns."""

    gap: Gap
    names: tuple[str, ...] = ()


def find_gap(state: RaftState, now: float) -> Missing | None:
    """Return what this member lacks to found a group; ``None`` if it has one.

    There is no group to found either if this member may found it now.
    """
    if state.ballot.cluster or state.log.last_index:
        return None
    return _find_seed_gap(state, now) or _find_founder_gap(state, now)


def may_found(state: RaftState, now: float) -> bool:
    """Return whether this member is to found the group now."""
    if state.ballot.cluster or state.log.last_index:
        return False
    return find_gap(state, now) is None


def found(state: RaftState, now: float) -> None:
    """Found the group with the members that have answered."""
    others = [
        state.introductions_by_name[name].member_id
        for name in _list_founders(state)
        if name != contacts.own_name(state)
    ]
    if state.rules.is_open:
        others = others[: state.rules.voters - 1]
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


def _find_seed_gap(state: RaftState, now: float) -> Missing | None:
    if any(
        _is_recent(each, now) and each.initialised
        for each in state.introductions_by_name.values()
    ):
        return Missing(Gap.group)
    silent = [
        name
        for name in state.names
        if name not in state.memberless_names
        and name != contacts.own_name(state)
        and not _has_answered(state, name, now)
    ]
    if silent or not state.names:
        return Missing(Gap.seeds, tuple(silent))
    unlisted = set(state.names) - state.listing_names
    if unlisted and not contacts.list_seed_members(state):
        return Missing(Gap.lists, tuple(sorted(unlisted)))
    return None


def _find_founder_gap(state: RaftState, now: float) -> Missing | None:
    if not state.rules.may_found:
        return Missing(Gap.permission)
    names = _list_founders(state)
    silent = tuple(
        name
        for name in names
        if name != contacts.own_name(state)
        and not _has_answered(state, name, now)
    )
    if silent:
        return Missing(Gap.members, silent)
    if names[0] != contacts.own_name(state):
        return Missing(Gap.turn, (names[0],))
    if contacts.list_seed_members(state) or len(names) >= state.rules.voters:
        return None
    is_waiting = now < state.listed_at + MORE_MEMBERS_WAIT_SECONDS
    return Missing(Gap.wait) if is_waiting else None


def _list_founders(state: RaftState) -> list[str]:
    """Return the members that must answer; the first one founds the group."""
    others = contacts.list_other_names(state)
    if contacts.list_seed_members(state):
        names = list(dict.fromkeys((*state.names, *others)))
    else:
        introduced = state.introductions_by_name
        names = sorted({contacts.own_name(state), *others, *introduced})
    return [name for name in names if name not in state.memberless_names]


def _has_answered(state: RaftState, name: str, now: float) -> bool:
    newest = state.introductions_by_name.get(name)
    return newest is not None and _is_recent(newest, now)


def _is_recent(introduction: Introduction, now: float) -> bool:
    return now < introduction.heard_at + INTRODUCTION_VALID_SECONDS
