"""Structured logs: one JSON line an event, a fixed prefix for each part."""

from collections.abc import Callable
from typing import Any, TextIO, final

import attrs
from eliot import (
    FileDestination,
    add_destinations,
    log_message,
    remove_destination,
)

from wasabiturn.utils.bounded_lines import BoundedLines

LEVELS = ('decision', 'event', 'warning')


@final
@attrs.frozen
class PartLog:
    """Log of one part; sentences carry its prefix."""

    part: str

    def event(self, sentence: str, **fields: Any) -> None:
        """Record an event that operators may want to read."""
        self._write('event', sentence, fields)

    def warning(self, sentence: str, **fields: Any) -> None:
        """Record an event that operators should look at."""
        self._write('warning', sentence, fields)

    def decision(self, sentence: str, **fields: Any) -> None:
        """Record a routing or placement decision with its inputs."""
        self._write('decision', sentence, fields)

    def _write(self, level: str, sentence: str, fields: dict[str, Any]) -> None:
        log_message(
            message_type=f'{self.part}:{level}',
            text=f'{self.part}: {sentence}',
            **fields,
        )


@final
@attrs.define
class LogOutput:
    """Destination of the process's log lines; closing it stops them."""

    stream: TextIO | BoundedLines
    destination: Callable[[dict[str, Any]], None]

    def close(self) -> None:
        """Stop writing and flush."""
        remove_destination(self.destination)
        self.stream.flush()


def create_part_log(part: str) -> PartLog:
    """Create the log of the part named ``part``."""
    return PartLog(part=part)


def open_log_output(
    stream: TextIO | BoundedLines,
    level: str,
) -> LogOutput:
    """Send the lines of this process at ``level`` or above as JSON.

    Levels from the lowest: ``decision``, ``event``, ``warning``.
    """
    to_stream = FileDestination(file=stream)
    kept = LEVELS[LEVELS.index(level) :]

    def destination(message: dict[str, Any]) -> None:
        written = str(message.get('message_type', ''))
        if written.rpartition(':')[2] in kept:
            to_stream(message)

    add_destinations(destination)
    return LogOutput(stream=stream, destination=destination)
