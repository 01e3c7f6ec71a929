"""Rate-limited output of lines to a descriptor, without blocking."""

import os
import time
from collections.abc import Callable
from typing import final

import attrs

MAX_LINES_PER_SECOND = 400
# Some lines hold what a client has sent.
MAX_BYTES_PER_SECOND = 262_144


@final
@attrs.define
class RateLimitedLines:
    """Binary stream of lines; drops and counts lines over the rate limit.

    The first line of the next second is preceded by the number of dropped
    lines.
    """

    descriptor: int
    clock: Callable[[], float] = time.monotonic
    # Second of ``clock`` in which ``written`` lines have been written.
    second: int = 0
    written: int = 0
    written_bytes: int = 0
    dropped: int = 0

    def write(self, line: bytes) -> int:
        """Write a line, or drop it: over the rate limit, or the reader lags."""
        second = int(self.clock())
        if second != self.second:
            self._begin_second(second)
        if line and self._is_over_rate(line):
            self.dropped += 1
        elif line:
            self.written += 1
            self.written_bytes += len(line)
            self._write(line)
        return len(line)

    def flush(self) -> None:
        """Do nothing: each line is written at once."""

    def _is_over_rate(self, line: bytes) -> bool:
        return (
            self.written >= MAX_LINES_PER_SECOND
            or self.written_bytes + len(line) > MAX_BYTES_PER_SECOND
        )

    def _begin_second(self, second: int) -> None:
        self.second = second
        self.written = 0
        self.written_bytes = 0
        if self.dropped:
            dropped = self.dropped
            self.dropped = 0
            self._write(
                b'{"text": "log: dropped lines", "count": %d}\n' % dropped
            )

    def _write(self, line: bytes) -> None:
        try:
            os.write(self.descriptor, line)
        except (BlockingIOError, BrokenPipeError):
            self.dropped += 1


def open_rate_limited_lines(descriptor: int) -> RateLimitedLines:
    """Create the stream and make its descriptor non-blocking.

    A terminal is not changed, since the shell that started the program
    shares it.
    """
    if not os.isatty(descriptor):
        os.set_blocking(descriptor, False)
    return RateLimitedLines(descriptor=descriptor)
