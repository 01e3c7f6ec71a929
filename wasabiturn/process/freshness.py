"""Time of the last confirmation that the view of a process is current."""

from random import Random
from typing import final

import attrs

# A member confirms only if its state will be at most 3 s old for this long.
FRESH_SECONDS = 2.0
# Without a confirmation for this long another member may feed the view.
SWITCH_AFTER_SECONDS = 1.0
# The interval between attempts to rebalance is one to two times this long.
MIN_REBALANCE_SECONDS = 150.0


@final
@attrs.define
class Freshness:
    """Times of the last confirmed request and of the last switch."""

    # When the latest request that a member confirmed was sent.
    requested_at: float | None = None
    # When the process last switched to another member, or tried to.
    switched_at: float = 0.0
    # When to try another member, to spread the load over the members.
    rebalance_at: float = 0.0

    def confirm(self, requested_at: float) -> None:
        """Record a confirmation of the view; it counts from the request."""
        if self.requested_at is None or requested_at > self.requested_at:
            self.requested_at = requested_at

    def is_fresh(self, now: float) -> bool:
        """Return whether the view was current within 3 s of ``now``."""
        return self._is_within(now, FRESH_SECONDS)

    def is_recently_confirmed(self, now: float) -> bool:
        """Return whether there is no need to ask other members."""
        return self._is_within(now, SWITCH_AFTER_SECONDS)

    def may_switch(self, requested_at: float, now: float) -> bool:
        """Return whether a member that confirmed may take over the feed.

        Only replies to requests sent after the last switch count, so that of
        several members that reply at once only the first takes over.
        """
        return (
            requested_at > self.switched_at
            and not self.is_recently_confirmed(now)
        )

    def record_switch(self, now: float, random: Random) -> None:
        """Record a switch, or an attempt at one, and schedule rebalancing."""
        self.switched_at = now
        self.rebalance_at = (
            now
            + MIN_REBALANCE_SECONDS
            + MIN_REBALANCE_SECONDS * random.random()
        )

    def _is_within(self, now: float, limit_seconds: float) -> bool:
        if self.requested_at is None:
            return False
        return now - self.requested_at <= limit_seconds
