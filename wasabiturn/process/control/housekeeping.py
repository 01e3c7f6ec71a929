"""Limits the replicated state: the leader proposes what to delete."""

from typing import Any, final

from wasabiturn.messages.state import Command, DeleteResource, ExpireClaims
from wasabiturn.utils.logs import create_component_log
from wasabiturn.utils.ticker import Ticker
from wasabiturn.version.replica import Replica
from wasabiturn.version.retention import (
    SAMPLE_PERIOD_SECONDS,
    ClaimAgeTracker,
    find_expired_jobs,
)

_log = create_component_log('housekeeping')


@final
class Housekeeping:
    """Delete expired claims and old done jobs, once a minute."""

    def __init__(self, replica: Replica, clock: Any) -> None:
        """Create the housekeeping of one member; ``start`` begins it."""
        self._replica = replica
        self._clock = clock
        self._claim_ages = ClaimAgeTracker()
        self._ticker = Ticker(self.tick, clock)

    def start(self) -> None:
        """Start the periodic check."""
        self._ticker.start(SAMPLE_PERIOD_SECONDS, now=False)

    def stop(self) -> None:
        """Stop the periodic check."""
        if self._ticker.running:
            self._ticker.stop()

    def tick(self) -> None:
        """Sample the ages of claims; propose deletions if this member leads."""
        now = self._clock.seconds()
        state = self._replica.state
        self._claim_ages.take_sample(state, now)
        if not self._replica.holds_lease(now):
            return
        cutoff_revision = self._claim_ages.find_expired_revision(state)
        if cutoff_revision is not None:
            body = ExpireClaims(before_revision=cutoff_revision)
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
                'proposal of a deletion failed; retrying at the next check',
                reason=str(failure.value),
            ),
        )
