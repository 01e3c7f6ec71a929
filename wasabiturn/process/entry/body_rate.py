"""Rate at which the body of a caller's request is received."""

from typing import final

import attrs

from wasabiturn.connection import client_deadlines


@final
@attrs.define
class BodyRate:
    """Bytes since this process began to read a body, or went on.

    Time in which it does not read the body does not count.
    """

    _received_bytes: int = 0
    _read_since: float | None = None

    def start(self, now: float) -> None:
        """Begin to count, or begin anew."""
        self._read_since = now
        self._received_bytes = 0

    def stop(self) -> None:
        """Stop counting: the body is whole, or is not read for now."""
        self._read_since = None

    def add(self, size: int) -> None:
        """Count received bytes."""
        self._received_bytes += size

    def is_too_low(self, now: float) -> bool:
        """Return whether the body comes more slowly than it may."""
        if self._read_since is None:
            return False
        return client_deadlines.is_below_rate(
            self._received_bytes,
            now - self._read_since,
            client_deadlines.MIN_BODY_BYTES_PER_SECOND,
        )
