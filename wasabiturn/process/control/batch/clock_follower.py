"""The clock of the replicated state, followed by each control instance."""

from typing import Any, final

import attrs

from wasabiturn.batch.state.clock import StateClock
from wasabiturn.version.replica import Replica


@final
class ClockFollower:
    """Reads the clock of the state from the changes that are applied."""

    def __init__(self, replica: Replica, clock: Any) -> None:
        """Follow ``replica`` from now on; ``clock`` is that of the loop."""
        self._replica = replica
        self._clock = clock
        self._state_clock = StateClock(noted_at=float(clock.seconds()))
        replica.on_applied.append(lambda _: self._follow())
        replica.on_restored.append(self._follow)
        self._follow()

    def take_clock(self) -> StateClock:
        """Return a clock with which a leader counts on by itself."""
        return attrs.evolve(self._state_clock)

    def _follow(self) -> None:
        self._state_clock.note(
            self._replica.state.batch.clock_ms, float(self._clock.seconds())
        )
