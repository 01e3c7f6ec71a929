"""Read barriers: reads that wait until a quorum confirms the leader."""

from typing import final

import attrs
from twisted.internet.defer import Deferred

from wasabiturn.ids import InstanceName
from wasabiturn.version.replica import NotLeaderError


@final
@attrs.frozen
class _PendingRead:
    requested_at: float
    result: Deferred[None]


@final
@attrs.define
class ReadBarriers:
    """Pending reads of a leader that does not hold its lease."""

    waiting: list[_PendingRead] = attrs.field(factory=list)

    def wait(self, now: float) -> Deferred[None]:
        """Add a read requested at ``now``; fires once it may proceed."""
        result: Deferred[None] = Deferred()
        self.waiting.append(_PendingRead(requested_at=now, result=result))
        return result

    def release(self, confirmed_at: float) -> None:
        """Release the reads requested before ``confirmed_at``.

        That is the start of the newest round that a quorum has confirmed.
        """
        waiting = self.waiting
        self.waiting = [
            read for read in waiting if read.requested_at >= confirmed_at
        ]
        for read in waiting:
            if read.requested_at < confirmed_at:
                read.result.callback(None)

    def fail_all(self, leader: InstanceName | None) -> None:
        """Fail all reads, because this member is not the leader."""
        failed = self.waiting
        self.waiting = []
        for read in failed:
            read.result.errback(NotLeaderError(leader))
