"""The lease that the leader has granted to an agent.

A lease starts when the report that requested it was sent, measured on the
worker's clock, so a grant that arrives late does not extend it.
"""

from typing import final

import attrs

from wasabiturn.messages.limits import START_PERMIT_SECONDS
from wasabiturn.process.agent.runs.port import RunListing

# A worker's clock may run 2 % slow.
SLOWEST_CLOCK_RATE = 0.98
NEVER = float('-inf')
_MS = 1000


@final
@attrs.define
class Grants:
    """Lease and start permission for one incarnation of a worker.

    Times with ``_ms`` are on the worker's clock, others in event loop seconds.
    """

    # The newest time that the worker reported, and when it was received.
    clock_ms: int = 0
    clock_read_at: float = NEVER
    lease_until_ms: int = 0
    starts_allowed_until: float = NEVER
    # The worker has shrunk since the newest report that was answered.
    has_shrunk: bool = False

    def record_clock(self, listing: RunListing, now: float) -> None:
        """Record the worker's clock if the listing is the newest."""
        if listing.clock_ms >= self.clock_ms:
            self.clock_ms = listing.clock_ms
            self.clock_read_at = now

    def estimate_clock_ms(self, now: float) -> int:
        """Return a lower bound of the worker's clock at ``now``.

        Returns 0 if no listing has been received.
        """
        if self.clock_read_at == NEVER:
            return 0
        elapsed_ms = (now - self.clock_read_at) * SLOWEST_CLOCK_RATE * _MS
        return self.clock_ms + int(elapsed_ms)

    def allow_starts(self, sent_at: float) -> None:
        """Allow starts for a moment after a report was sent at ``sent_at``."""
        self.starts_allowed_until = max(
            self.starts_allowed_until, sent_at + START_PERMIT_SECONDS
        )
        self.has_shrunk = False

    def record_shrink(self) -> None:
        """Allow no start before a report of the shrunk worker is answered."""
        self.starts_allowed_until = NEVER
        self.has_shrunk = True

    def extend(self, sent_clock_ms: int, lease_ms: int) -> None:
        """Extend the lease by a grant.

        ``sent_clock_ms`` is the worker's clock when it was requested, 0 if
        unknown.
        """
        if sent_clock_ms:
            until_ms = sent_clock_ms + lease_ms
            self.lease_until_ms = max(self.lease_until_ms, until_ms)

    def may_start(self, now: float) -> bool:
        """Return whether the leader answered recently enough to start runs."""
        return now < self.starts_allowed_until and self.lease_until_ms > 0
