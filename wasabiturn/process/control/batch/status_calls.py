"""Handling of calls that ask for the group and its leader."""

from collections.abc import Callable
from typing import final

import attrs

from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.link import Link
from wasabiturn.messages.batch import LeaderStatus, MemberList
from wasabiturn.messages.kinds import Method
from wasabiturn.messages.link import Nothing
from wasabiturn.process.control.batch.client_limits import ClientLimitsTable
from wasabiturn.process.control.batch.group_budget import list_members
from wasabiturn.process.control.batch.leader_term import LeaderTerm
from wasabiturn.version.replica import Replica


@final
@attrs.frozen
class StatusCallHandler:
    """Handles calls that change nothing.

    ``require_term`` raises ``CallError`` on a member that does not lead.
    """

    require_term: Callable[[], LeaderTerm]
    replica: Replica
    client_limits: ClientLimitsTable

    def members(self, link: Link, nothing: Nothing) -> MemberList:
        """Return the names of the members, as this one knows them."""
        return MemberList(names=sorted(list_members(self.replica)))

    def leader_status(self, link: Link, nothing: Nothing) -> LeaderStatus:
        """Return what an entry needs before it becomes ready."""
        self.require_term()
        routing = self.replica.state.batch.routing
        return LeaderStatus(
            is_configured=routing is not None,
            client_limits=self.client_limits.find(routing),
        )


def register_status_calls(
    dispatch: Dispatch,
    require_term: Callable[[], LeaderTerm],
    replica: Replica,
    client_limits: ClientLimitsTable,
) -> None:
    """Register the handlers of calls that ask for members or the leader."""
    handler = StatusCallHandler(require_term, replica, client_limits)
    dispatch.handle(Method.members, Nothing, handler.members)
    dispatch.handle(Method.leader_status, Nothing, handler.leader_status)
