"""Lines to a descriptor that never blocks, bounded in number each second."""

import os
import time
from collections.abc import Callable
from typing import final

import attrs

MAX_LINES_PER_SECOND = 400


@final
@attrs.define
class BoundedLines:
    """Binary stream of whole lines; those over the bound are counted.

    The next second's first line is preceded by the number of lines dropped.
    """

    descriptor: int
    clock: Callable[[], float] = time.monotonic
    second: int = 0
    written: int = 0
    dropped: int = 0

    def write(self, line: bytes) -> int:
        """Write a line, or drop it when too many came or the reader lags."""
        second = int(self.clock())
        if second != self.second:
            self._begin_second(second)
        if line and self.written >= MAX_LINES_PER_SECOND:
            self.dropped += 1
        elif line:
            self.written += 1
            self._write(line)
        return len(line)

    def flush(self) -> None:
        """Do nothing: each line is written at once."""

    def _begin_second(self, second: int) -> None:
        self.second = second
        self.written = 0
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


def open_bounded_lines(descriptor: int) -> BoundedLines:
    """Create the stream and make its descriptor non-blocking.

    A terminal is left as it is: the shell that started the program shares it.
    """
    if not os.isatty(descriptor):
        os.set_blocking(descriptor, False)
    return BoundedLines(descriptor=descriptor)
