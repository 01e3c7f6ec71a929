"""Parser of a watch stream that drops events already seen."""

from typing import Any, final

import attrs

from wasabiturn.utils.json_text import read_json

NO_REVISION = -1


@final
@attrs.define
class WatchReader:
    """Parses the events of one watch, across connections."""

    revision: int = NO_REVISION
    last_received_at: float = 0.0
    _partial: bytes = b''

    def start_connection(self, now: float) -> None:
        """Start a new connection; drop an incomplete line of the last one."""
        self.last_received_at = now
        self._partial = b''

    def feed(self, chunk: bytes, now: float) -> list[dict[str, Any]]:
        """Parse received bytes; return the new snapshots and changes.

        Raises:
            ValueError: a line is not a valid JSON event.
        """
        self.last_received_at = now
        lines = (self._partial + chunk).split(b'\n')
        self._partial = lines.pop()
        events = [self._filter_event(read_json(line)) for line in lines if line]
        return [event for event in events if event is not None]

    def is_silent(self, now: float, limit_seconds: float) -> bool:
        """Return whether no data, not even a heartbeat, arrived in time."""
        return now - self.last_received_at > limit_seconds

    def _filter_event(self, event: dict[str, Any]) -> dict[str, Any] | None:
        revision = int(event['revision'])
        is_new = revision > self.revision
        # A snapshot at an older revision comes from a lagging member and is
        # skipped. The revision advances only with the last part of a snapshot,
        # so that one that is cut off is requested again.
        if event.get('complete', True):
            self.revision = max(self.revision, revision)
        if not is_new or event['type'] == 'heartbeat':
            return None
        return event
