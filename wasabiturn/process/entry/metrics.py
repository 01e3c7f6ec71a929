"""Metrics of an entry."""

from typing import final

import attrs

from wasabiturn.process.entry.caller import CallerRequest
from wasabiturn.utils.metrics import Metrics

_MS_PER_SECOND = 1000
_STATUS_CLASS_SIZE = 100


@final
@attrs.frozen
class EntryMetrics:
    """Records the outcome and duration of finished requests."""

    metrics: Metrics

    def record(self, request: CallerRequest, now: float) -> None:
        """Record the outcome and duration of a request finished at ``now``."""
        raw = request.responseHeaders.getRawHeaders(b'wasabiturn-outcome')
        if raw:
            outcome = raw[0].decode().replace('-', '_')
            self.metrics.incr(f'requests.{outcome}')
        else:
            status_class = request.code // _STATUS_CLASS_SIZE
            self.metrics.incr(f'requests.{status_class}xx')
        elapsed = (now - request.started_at) * _MS_PER_SECOND
        self.metrics.timing('requests.time', elapsed)
