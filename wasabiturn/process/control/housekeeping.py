"""Bounds the shared state: the leader proposes what may be forgotten."""

from typing import Any, final

from twisted.internet.task import LoopingCall

from wasabiturn.messages.state import Command, DeleteResource, ExpireClaims
from wasabiturn.utils.logs import create_part_log
from wasabiturn.version.replica import Replica
from wasabiturn.version.retention import (
    SAMPLE_PERIOD_SECONDS,
    ClaimAgeTracker,
    find_expired_jobs,
)

_log = create_part_log('housekeeping')


@final
class Housekeeping:
    """Forgets expired claims and done jobs, once a minute."""

    def __init__(self, replica: Replica, clock: Any) -> None:
        """Create the housekeeping of one member."""
        self._replica = replica
        self._clock = clock
        self._claim_ages = ClaimAgeTracker()
        self._ticker = LoopingCall(self.tick)
        self._ticker.clock = clock

    def start(self) -> None:
        """Begin to look for what may be forgotten."""
        self._ticker.start(SAMPLE_PERIOD_SECONDS, now=False)

    def stop(self) -> None:
        """Stop looking."""
        if self._ticker.running:
            self._ticker.stop()

    def tick(self) -> None:
        """Note ages; propose what may be forgotten if this member leads."""
        now = self._clock.seconds()
        state = self._replica.state
        self._claim_ages.take_sample(state, now)
        if not self._replica.holds_lease(now):
            return
        expired = self._claim_ages.find_expired_revision(state)
        if expired is not None:
            body = ExpireClaims(before_revision=expired)
            self._propose(Command(expire=body))
        for job in find_expired_jobs(state):
            removal = DeleteResource(
                kind=int(job.kind),
                name=job.name,
                expected_revision=job.revision,
            )
            self._propose(Command(remove=removal))

    def _propose(self, command: Command) -> None:
        proposed = self._replica.submit(command)
        proposed.addErrback(
            lambda failure: _log.event(
                'proposal failed',
                reason=str(failure.value),
            ),
        )
