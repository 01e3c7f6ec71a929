"""Transfer of leadership before a member stops gracefully."""

from typing import final

import attrs
from twisted.internet.defer import Deferred

from wasabiturn.process.control.member import ActiveMember
from wasabiturn.version.raft.membership import name_of, peers
from wasabiturn.version.raft.transfer import transfer_leadership

HANDOVER_TIMEOUT_SECONDS = 2.0


@final
@attrs.define
class Handover:
    """Transfer of leadership by a member that is stopping.

    Fires ``done`` once another member leads. Fires without a transfer if this
    member does not lead or is the only one, and at the timeout.
    """

    started_at: float
    was_transferred: bool = False
    done: Deferred[None] = attrs.field(factory=Deferred)
    is_done: bool = False

    def advance(self, member: ActiveMember, now: float) -> None:
        """Transfer leadership once idle; fire ``done`` when finished."""
        if member.raft.leadership is not None and member.is_idle():
            transferred = transfer_leadership(member.raft, now)
            self.was_transferred = self.was_transferred or transferred
        if self._is_finished(member, now) and not self.is_done:
            self.is_done = True
            self.done.callback(None)

    def _is_finished(self, member: ActiveMember, now: float) -> bool:
        if now >= self.started_at + HANDOVER_TIMEOUT_SECONDS:
            return True
        if member.raft.leadership is not None:
            return member.is_idle() and not peers(member.raft)
        if not self.was_transferred:
            return True
        leader = member.leader(now)
        return leader is not None and leader != name_of(member.raft.member_id)
