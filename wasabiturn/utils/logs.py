"""Structured logs: one JSON line per event, prefixed with its component."""

from collections.abc import Callable
from typing import Any, TextIO, final

import attrs
from eliot import (
    FileDestination,
    add_destinations,
    log_message,
    remove_destination,
)

from wasabiturn.utils.rate_limited_lines import RateLimitedLines

LEVELS = ('decision', 'event', 'warning')
# Fields of eliot that tell nothing here: no line is part of an action.
_UNUSED_FIELDS = ('task_uuid', 'task_level')


@final
@attrs.frozen
class ComponentLog:
    """Log of one component, whose name is the prefix of each line."""

    component: str

    def event(self, sentence: str, **fields: Any) -> None:
        """Log an event that operators may want to read."""
        self._write('event', sentence, fields)

    def warning(self, sentence: str, **fields: Any) -> None:
        """Log an event that operators should look at."""
        self._write('warning', sentence, fields)

    def decision(self, sentence: str, **fields: Any) -> None:
        """Log a routing or placement decision with its inputs."""
        self._write('decision', sentence, fields)

    def _write(self, level: str, sentence: str, fields: dict[str, Any]) -> None:
        log_message(
            message_type=f'{self.component}:{level}',
            text=f'{self.component}: {sentence}',
            **fields,
        )


@final
@attrs.define
class LogOutput:
    """Output of the log lines of this process."""

    stream: TextIO | RateLimitedLines
    destination: Callable[[dict[str, Any]], None]

    def close(self) -> None:
        """Stop writing log lines, and flush the stream."""
        remove_destination(self.destination)
        self.stream.flush()


def create_component_log(component: str) -> ComponentLog:
    """Create the log of ``component``."""
    return ComponentLog(component=component)


def open_log_output(
    stream: TextIO | RateLimitedLines,
    level: str,
) -> LogOutput:
    """Write the log lines of this process at ``level`` or above as JSON.

    Levels from the lowest: ``decision``, ``event``, ``warning``.
    """
    to_stream = FileDestination(file=stream)
    enabled_levels = LEVELS[LEVELS.index(level) :]

    def destination(message: dict[str, Any]) -> None:
        logged_type = str(message.get('message_type', ''))
        if logged_type.rpartition(':')[2] in enabled_levels:
            to_stream(_without_unused(message))

    add_destinations(destination)
    return LogOutput(stream=stream, destination=destination)


def _without_unused(message: dict[str, Any]) -> dict[str, Any]:
    return {
        name: content
        for name, content in message.items()
        if name not in _UNUSED_FIELDS
    }
