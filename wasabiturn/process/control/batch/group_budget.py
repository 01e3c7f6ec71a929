"""The room for jobs that all members of the control group have."""

from typing import final

import attrs

from wasabiturn.batch.state.budget import find_smallest
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.link import Link
from wasabiturn.messages.kinds import Role
from wasabiturn.messages.link import StateBudget
from wasabiturn.version.raft.membership import name_of
from wasabiturn.version.replica import Replica

# Processes of the group that are no members yet, or no longer.
MAX_STRANGERS = 64


@final
@attrs.define
class GroupBudget:
    """What the members have said of themselves when their links opened.

    A member that has not been heard of yet, or one of an earlier version,
    bounds nothing.
    """

    own: StateBudget | None
    replica: Replica
    budgets_by_name: dict[str, StateBudget] = attrs.field(factory=dict)

    def record(self, link: Link) -> None:
        """Learn the budget of the process at the other end of a link."""
        peer = link.peer
        if peer.role is Role.control and peer.state_budget is not None:
            self.budgets_by_name[peer.name] = peer.state_budget
            self._forget_departed()

    def find(self) -> StateBudget | None:
        """Return what fits in each member, or none if that is not known."""
        known = [
            self.budgets_by_name[name]
            for name in list_members(self.replica)
            if name in self.budgets_by_name
        ]
        if self.own is not None:
            known.append(self.own)
        return find_smallest(known)

    def _forget_departed(self) -> None:
        """Forget the longest known processes that are no members.

        Some are kept, as a process says hello before it becomes a member.
        """
        members = list_members(self.replica)
        strangers = [
            name for name in self.budgets_by_name if name not in members
        ]
        for name in strangers[:-MAX_STRANGERS]:
            self.budgets_by_name.pop(name)


def follow_group_budget(dispatch: Dispatch, replica: Replica) -> GroupBudget:
    """Return the budget of the group, which learns from the links."""
    budget = GroupBudget(dispatch.hello.state_budget, replica)
    dispatch.on_open.append(budget.record)
    return budget


def list_members(replica: Replica) -> set[str]:
    """Return the names of the members, as this one knows them."""
    members = replica.member_status().members
    return {name_of(each.member_id) for each in members}
