"""Interface of the replicated state to the parts of a control instance."""

from collections.abc import Callable
from typing import Protocol, final

import attrs
from twisted.internet.defer import Deferred

from wasabiturn.exceptions import StateError
from wasabiturn.ids import InstanceName, LogIndex
from wasabiturn.messages.raft import Member
from wasabiturn.messages.state import Change, Command, Outcome
from wasabiturn.version.raft.founding import Missing
from wasabiturn.version.state import State


class NotLeaderError(StateError):
    """The command was not applied: this member is not the leader."""

    def __init__(self, leader: InstanceName | None) -> None:
        """Create the error; ``leader`` is ``None`` if it is not known."""
        super().__init__(f'the leader is {leader or "not known"}')
        self.leader = leader


class CommandTooLargeError(StateError):
    """The command was not applied: it exceeds the size limit of the log."""


class OutcomeUnknownError(StateError):
    """Leadership was lost before the command was known to be committed."""


@final
@attrs.frozen
class AppliedCommand:
    """Applied command, with its outcome and the changes sent to watches."""

    index: LogIndex
    command: Command
    outcome: Outcome
    changes: tuple[Change, ...]


@final
@attrs.frozen
class MemberStatus:
    """Status of the control group as one member sees it.

    It is shown to operators; batch leadership also uses the term as its
    fencing token.
    """

    role: str
    term: int
    members: tuple[Member, ...]
    lag_by_id: dict[str, int] = attrs.field(factory=dict)
    # What this member lacks to found or join a group.
    missing: Missing | None = None


class Replica(Protocol):
    """One member of the control group.

    Installing a snapshot replaces the ``state`` object, so callers must not
    keep a reference to it. ``on_restored`` is then called instead of
    ``on_applied``.
    """

    name: InstanceName
    on_applied: list[Callable[[AppliedCommand], None]]
    on_restored: list[Callable[[], None]]
    on_role_change: list[Callable[[], None]]

    @property
    def state(self) -> State:
        """Return the state after the last applied command."""

    def submit(self, command: Command) -> Deferred[Outcome]:
        """Commit and apply ``command``; only the leader accepts it.

        Fails with ``NotLeaderError`` or ``CommandTooLargeError`` if the
        command was certainly not applied, and with ``OutcomeUnknownError`` if
        it may have been.
        """

    def read_barrier(self) -> Deferred[None]:
        """Fire once ``state`` has all commands committed before the call.

        Fires immediately while the leader lease is valid, otherwise after the
        next round of append requests that a quorum answers. Fails with
        ``NotLeaderError`` on a member that is not the leader.
        """

    def leader(self) -> InstanceName | None:
        """Return the name of the leader, or ``None`` if it is not known."""

    def holds_lease(self, now: float) -> bool:
        """Return whether this member holds the leader lease at ``now``.

        No other member can lead while it does.
        """

    def is_fresh(self, now: float) -> bool:
        """Return whether ``state`` was current within the freshness period."""

    def member_status(self) -> MemberStatus:
        """Return the role and the term of this member, and the membership."""
