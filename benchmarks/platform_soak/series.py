"""When events of a soak come: in series, with pauses between these."""

from random import Random
from typing import final

import attrs


@final
@attrs.define
class Series:
    """Draws how long to wait until the next event.

    A series has up to ``max_events`` after its first one, a gap apart.
    """

    random: Random
    max_events: int
    gap_seconds: tuple[float, ...]
    pause_seconds: tuple[float, ...]
    _left: int = 0

    def draw_wait(self) -> float:
        """Return the seconds until the next event."""
        if self._left:
            self._left -= 1
            return self.random.choice(self.gap_seconds)
        self._left = self.random.randrange(self.max_events)
        return self.random.choice(self.pause_seconds)
