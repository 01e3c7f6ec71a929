"""Clock of the replicated state, on which times outlive a leader.

Each change carries the time of its leader. An instance that applies one counts
on from there, so its clock is never ahead of that leader's: what has ended on
it has ended. It stands still while an instance is down.
"""

from typing import final

import attrs

_MS = 1000


@final
@attrs.define
class StateClock:
    """Reading of the clock, ``elapsed_ms`` at ``noted_at`` of the loop."""

    noted_at: float
    elapsed_ms: int = 0

    def note(self, elapsed_ms: int, now: float) -> None:
        """Follow the newest change that was applied."""
        if elapsed_ms != self.elapsed_ms:
            self.elapsed_ms = elapsed_ms
            self.noted_at = now

    def read(self, now: float) -> int:
        """Return the time in milliseconds."""
        return self.elapsed_ms + int((now - self.noted_at) * _MS)

    def to_loop(self, state_ms: int, now: float) -> float:
        """Return the time of the loop at which this clock reads a time."""
        return now + (state_ms - self.read(now)) / _MS
