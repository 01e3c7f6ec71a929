"""Time on the clock of a link's peer.

Clocks of two instances don't compare. Each frame carries the time at which it
was sent, so the peer's clock shows at least that when the frame arrives.
"""

from typing import final

import attrs

_MS_PER_SECOND = 1000


def milliseconds_in(seconds: float) -> int:
    """Return whole milliseconds, rounded down."""
    return int(seconds * _MS_PER_SECOND)


@final
@attrs.define
class PeerClock:
    """Lower bound of what the peer's clock shows.

    It is below the true time by the delay of the newest frame.
    """

    _sent_ms: int = 0
    _received_at: float = 0.0

    def record(self, sent_ms: int, received_at: float) -> None:
        """Record a frame; ``sent_ms`` is on the peer's clock."""
        self._sent_ms = sent_ms
        self._received_at = received_at

    def read(self, moment: float) -> int:
        """Return the peer's time in milliseconds at ``moment`` of this clock.

        0 if no frame has told it.
        """
        if not self._sent_ms:
            return 0
        return self._sent_ms + milliseconds_in(moment - self._received_at)
