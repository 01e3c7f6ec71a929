"""Delay of the next hold until the leader has acknowledged ended runs.

A worker answers a hold at once while it lists an end that is not acknowledged,
so without a delay the agent and its worker would do nothing else until then.
"""

from collections.abc import Callable
from typing import Any, final

from wasabiturn.process.agent.runs.port import RunListing

# Acknowledgements that take longer come after a change of the leader.
ACKNOWLEDGEMENT_WAIT_SECONDS = 0.05


@final
class HoldDelay:
    """At most one delayed hold."""

    def __init__(self, clock: Any, send_hold: Callable[[], None]) -> None:
        """Create a delay that calls ``send_hold`` when it is over."""
        self._clock = clock
        self._send_hold = send_hold
        self._timer: Any = None

    def begin(self) -> None:
        """Send the hold later, or once ``finish`` is called."""
        self.cancel()
        self._timer = self._clock.callLater(
            ACKNOWLEDGEMENT_WAIT_SECONDS, self._send
        )

    def finish(self) -> None:
        """Send the hold now if it is delayed."""
        if self._timer is not None:
            self.cancel()
            self._send_hold()

    def cancel(self) -> None:
        """Do not send the hold that is delayed."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _send(self) -> None:
        self._timer = None
        self._send_hold()


def has_acknowledged_all(listing: RunListing | None, acknowledged: int) -> bool:
    """Return whether no end in ``listing`` is newer than ``acknowledged``."""
    ended = listing.ended if listing else []
    return all(row.number <= acknowledged for row in ended)
