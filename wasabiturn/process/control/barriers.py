"""Reads that wait until a quorum confirms the leader."""

from typing import final

import attrs
from twisted.internet.defer import Deferred

from wasabiturn.ids import InstanceName
from wasabiturn.version.replica import NotLeaderError


@final
@attrs.frozen
class _Barrier:
    asked_at: float
    settled: Deferred[None]


@final
@attrs.define
class Barriers:
    """Barriers of a leader whose lease is not in force."""

    waiting: list[_Barrier] = attrs.field(factory=list)

    def wait(self, now: float) -> Deferred[None]:
        """Add a read that was asked for at ``now``."""
        settled: Deferred[None] = Deferred()
        self.waiting.append(_Barrier(asked_at=now, settled=settled))
        return settled

    def settle(self, confirmed_at: float) -> None:
        """Release the reads asked for before a round a quorum confirmed."""
        waiting = self.waiting
        self.waiting = [
            barrier for barrier in waiting if barrier.asked_at >= confirmed_at
        ]
        for barrier in waiting:
            if barrier.asked_at < confirmed_at:
                barrier.settled.callback(None)

    def refuse(self, leader: InstanceName | None) -> None:
        """Fail all reads: this member does not lead."""
        refused = self.waiting
        self.waiting = []
        for barrier in refused:
            barrier.settled.errback(NotLeaderError(leader))
