"""Metrics of an entry."""

from typing import final

import attrs

from wasabiturn.process.entry.caller import CallerRequest
from wasabiturn.utils.metrics import Metrics

MILLISECONDS = 1000
STATUS_CLASS = 100


@final
@attrs.frozen
class EntryMeters:
    """Counts finished requests by what their callers were told."""

    metrics: Metrics

    def record(self, request: CallerRequest, now: float) -> None:
        """Count ``request``, which finished at ``now``, and its time."""
        raw = request.responseHeaders.getRawHeaders(b'wasabiturn-outcome')
        if raw:
            outcome = raw[0].decode().replace('-', '_')
            self.metrics.incr(f'requests.{outcome}')
        else:
            status_class = request.code // STATUS_CLASS
            self.metrics.incr(f'requests.{status_class}xx')
        elapsed = (now - request.opened_at) * MILLISECONDS
        self.metrics.timing('requests.time', elapsed)
