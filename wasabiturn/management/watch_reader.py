"""What a watcher knows: lines of a watch in, changes without repeat out."""

import json
from typing import Any, final

import attrs

NO_REVISION = -1


@final
@attrs.define
class WatchReader:
    """Follows one kind through any number of connections."""

    revision: int = NO_REVISION
    heard_at: float = 0.0
    _partial: bytes = b''

    def restart(self, now: float) -> None:
        """Begin a new connection; a line that broke off is dropped."""
        self.heard_at = now
        self._partial = b''

    def feed(self, chunk: bytes, now: float) -> list[dict[str, Any]]:
        """Take bytes; return the snapshots and changes that are new.

        Raises:
            ValueError: a line is no JSON object of a watch.
        """
        self.heard_at = now
        lines = (self._partial + chunk).split(b'\n')
        self._partial = lines.pop()
        taken = [self._take(json.loads(line)) for line in lines if line]
        return [event for event in taken if event is not None]

    def is_silent(self, now: float, limit_seconds: float) -> bool:
        """Tell whether nothing, not even a heartbeat, came in time."""
        return now - self.heard_at > limit_seconds

    def _take(self, event: dict[str, Any]) -> dict[str, Any] | None:
        revision = int(event['revision'])
        is_new = revision > self.revision
        # A snapshot of an older state is that of a member that lags; one that
        # breaks off before its last part is asked for again.
        if event.get('complete', True):
            self.revision = max(self.revision, revision)
        if not is_new or event['type'] == 'heartbeat':
            return None
        return event
