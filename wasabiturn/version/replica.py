"""What the parts of a control instance need of the replicated state."""

from collections.abc import Callable
from typing import Protocol, final

import attrs
from twisted.internet.defer import Deferred

from wasabiturn.exceptions import StateError
from wasabiturn.ids import InstanceName, LogIndex
from wasabiturn.messages.raft import Member
from wasabiturn.messages.state import Change, Command, Outcome
from wasabiturn.version.state import State


class NotLeaderError(StateError):
    """The command was not run: this member does not lead."""

    def __init__(self, leader: InstanceName | None) -> None:
        """Name the leader, if this member knows one."""
        super().__init__(f'the leader is {leader or "not known"}')
        self.leader = leader


class CommandTooLargeError(StateError):
    """The command was not run: it is over the size that the log takes."""


class OutcomeUnknownError(StateError):
    """Leadership was lost before the command was known to be committed."""


@final
@attrs.frozen
class AppliedCommand:
    """One applied command: its outcome, and the changes that watches see."""

    index: LogIndex
    command: Command
    outcome: Outcome
    changes: tuple[Change, ...]


@final
@attrs.frozen
class MemberStatus:
    """What a member knows of the group; for operators only."""

    role: str
    term: int
    members: tuple[Member, ...]
    lag_by_id: dict[str, int] = attrs.field(factory=dict)


class Replica(Protocol):
    """One member of the control group.

    ``state`` is another object after a snapshot was installed, so no part
    keeps it: ``on_restored`` is then called in place of ``on_applied``.
    """

    name: InstanceName
    on_applied: list[Callable[[AppliedCommand], None]]
    on_restored: list[Callable[[], None]]
    on_role_change: list[Callable[[], None]]

    @property
    def state(self) -> State:
        """Return the state after the last applied command."""

    def submit(self, command: Command) -> Deferred[Outcome]:
        """Commit and apply ``command`` here; only the leader accepts it.

        Fails with ``NotLeaderError`` or ``CommandTooLargeError`` (certainly
        not run), or with ``OutcomeUnknownError``.
        """

    def read_barrier(self) -> Deferred[None]:
        """Fire once ``state`` holds all that was committed before the call.

        At once under the leader lease, else after the next round that a quorum
        answers. Fails with ``NotLeaderError`` on a member that does not lead.
        """

    def leader(self) -> InstanceName | None:
        """Return the name of the leader that this member follows."""

    def holds_lease(self, now: float) -> bool:
        """Tell whether this member leads and no other can lead at ``now``."""

    def is_fresh(self, now: float) -> bool:
        """Tell whether ``state`` was current within the freshness period."""

    def member_status(self) -> MemberStatus:
        """Return the role, the term and the members of this member."""
