"""Instances that a member knows, and what seeds without a member list."""

from wasabiturn.version.raft import membership
from wasabiturn.version.raft.state import RaftState


def record_list(
    state: RaftState, names: tuple[str, ...], lister: str, now: float
) -> None:
    """Record the members that ``lister`` has named."""
    if not state.rules.is_open:
        return
    state.reported_names.update(names)
    if own_name(state) not in names or lister not in state.names:
        return
    had_listed = _have_listed(state)
    state.listing_names.add(lister)
    if _have_listed(state) and not had_listed:
        state.listed_at = now


def list_other_names(state: RaftState) -> list[str]:
    """Return the other instances that this member introduces itself to."""
    names = dict.fromkeys(state.names)
    if state.rules.is_open:
        names.update(dict.fromkeys(list_member_names(state)))
        names.update(dict.fromkeys(sorted(state.reported_names)))
    return [name for name in names if name != own_name(state)]


def list_member_names(state: RaftState) -> list[str]:
    """Return the names of the members of the group, as far as known."""
    members = membership.current(state).members
    return [membership.name_of(member.member_id) for member in members]


def list_seed_members(state: RaftState) -> list[str]:
    """Return the seeds that run a member, as far as known."""
    return [name for name in state.names if name not in state.memberless_names]


def _have_listed(state: RaftState) -> bool:
    return state.listing_names.issuperset(state.names)


def own_name(state: RaftState) -> str:
    """Return the name of the instance of this member."""
    return membership.name_of(state.member_id)
