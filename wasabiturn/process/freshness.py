"""How lately a quorum confirmed a process's view."""

from random import Random
from typing import final

import attrs

# A member answers only if its state stays within 3 s for this long.
FRESH_SECONDS = 2.0
SWITCH_SECONDS = 1.0
BALANCE_SECONDS = 150.0


@final
@attrs.define
class Freshness:
    """Times of the newest confirmed question and of the newest switch."""

    asked_at: float | None = None
    chosen_at: float = 0.0
    balance_at: float = 0.0

    def confirm(self, asked_at: float) -> None:
        """Note that a member confirmed the view; counts from the question."""
        if self.asked_at is None or asked_at > self.asked_at:
            self.asked_at = asked_at

    def is_fresh(self, now: float) -> bool:
        """Tell whether the view was current within 3 s of ``now``."""
        return self._is_within(now, FRESH_SECONDS)

    def is_settled(self, now: float) -> bool:
        """Tell whether there is no reason to ask another member."""
        return self._is_within(now, SWITCH_SECONDS)

    def may_switch(self, asked_at: float, now: float) -> bool:
        """Tell whether a member that answers may take over the feed.

        Only an answer to a question from after the last switch counts: of
        several members that answer at once the first takes over.
        """
        return asked_at > self.chosen_at and not self.is_settled(now)

    def choose(self, now: float, random: Random) -> None:
        """Note a switch, and when to try another member for balance."""
        self.chosen_at = now
        self.balance_at = (
            now + BALANCE_SECONDS + BALANCE_SECONDS * random.random()
        )

    def _is_within(self, now: float, limit_seconds: float) -> bool:
        if self.asked_at is None:
            return False
        return now - self.asked_at <= limit_seconds
