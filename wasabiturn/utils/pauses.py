"""Detection of pauses in which the whole process stood still."""

from typing import Any, final

from wasabiturn.utils.ticker import Ticker

TICK_SECONDS = 0.25
# Clients wait for a response for about a second, then they ask elsewhere.
MIN_PAUSE_SECONDS = 0.9
# Input that waited in sockets is read in the first turns of the loop.
CATCH_UP_SECONDS = 0.25


@final
class PauseDetector:
    """Tells whether input that is read now may have waited in a pause.

    The clock must count the time for which the instance was suspended.
    """

    def __init__(self, clock: Any) -> None:
        """Create a stopped detector; ``clock`` is the reactor."""
        self._clock = clock
        self._ticked_at = float(clock.seconds())
        self._caught_up_at = self._ticked_at
        self._ticker = Ticker(self._tick, clock)

    def start(self) -> None:
        """Start to watch for pauses."""
        self._ticked_at = float(self._clock.seconds())
        self._ticker.start(TICK_SECONDS, now=False)

    def stop(self) -> None:
        """Stop watching."""
        if self._ticker.running:
            self._ticker.stop()

    def is_catching_up(self) -> bool:
        """Return whether a pause ends now, or ended a moment ago."""
        now = float(self._clock.seconds())
        return now < self._caught_up_at or self._is_after_pause(now)

    def _tick(self) -> None:
        now = float(self._clock.seconds())
        if self._is_after_pause(now):
            self._caught_up_at = now + CATCH_UP_SECONDS
        self._ticked_at = now

    def _is_after_pause(self, now: float) -> bool:
        return now - self._ticked_at > TICK_SECONDS + MIN_PAUSE_SECONDS
