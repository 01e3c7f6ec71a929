"""What the leader has granted an agent, and until when.

The lease is counted on the worker's clock from before the report that asked
for it was sent, so a grant that arrives late prolongs nothing.
"""

from typing import final

import attrs

from wasabiturn.process.agent.runs.port import RunListing

# A worker's clock may run 2 % slow.
SLOWEST_CLOCK = 0.98
# Starts need an answer of the leader to a report sent within this time.
PERMIT_SECONDS = 2.0
NEVER = float('-inf')
_MS = 1000


@final
@attrs.define
class Grants:
    """Grants for one life of a worker; times in loop seconds but ``_ms``."""

    clock_ms: int = 0
    clock_read_at: float = NEVER
    lease_until_ms: int = 0
    permit_until: float = NEVER

    def read_clock(self, listing: RunListing, now: float) -> None:
        """Take the worker's clock from its newest answer."""
        if listing.clock_ms >= self.clock_ms:
            self.clock_ms = listing.clock_ms
            self.clock_read_at = now

    def estimate_clock_ms(self, now: float) -> int:
        """Return a time that the worker's clock has passed at ``now``."""
        if self.clock_read_at == NEVER:
            return 0
        passed = (now - self.clock_read_at) * SLOWEST_CLOCK * _MS
        return self.clock_ms + int(passed)

    def extend(self, asked_at: float, asked_ms: int, lease_ms: int) -> None:
        """Take a grant that was asked for at ``asked_at``."""
        if not lease_ms:
            return
        self.permit_until = max(self.permit_until, asked_at + PERMIT_SECONDS)
        if asked_ms:
            until_ms = asked_ms + lease_ms
            self.lease_until_ms = max(self.lease_until_ms, until_ms)

    def may_start(self, now: float) -> bool:
        """Tell whether the leader was in touch lately enough to start runs."""
        return now < self.permit_until and self.lease_until_ms > 0
