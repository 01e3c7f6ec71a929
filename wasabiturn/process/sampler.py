"""Periodic gauges of one process."""

from collections.abc import Callable
from typing import final

from twisted.internet.defer import Deferred, succeed

from wasabiturn.process.daemon import Context
from wasabiturn.utils.metrics import Metrics
from wasabiturn.utils.ticker import Ticker

SAMPLE_SECONDS = 5.0

Sample = Callable[[Metrics], None]


@final
class Sampler:
    """Sends the gauges of one component every ``SAMPLE_SECONDS``."""

    def __init__(self, context: Context, sample: Sample) -> None:
        """Create a sampler; ``sample`` writes gauges to the metrics client."""
        self._metrics = context.metrics
        self._sample = sample
        self._loop = Ticker(self._send, context.reactor)

    def start(self) -> None:
        """Begin to send; the first gauges follow after one period."""
        self._loop.start(SAMPLE_SECONDS, now=False)

    def drain(self) -> Deferred[None]:
        """Send the gauges one last time."""
        self._send()
        return succeed(None)

    def close(self) -> None:
        """Stop sending."""
        if self._loop.running:
            self._loop.stop()

    def _send(self) -> None:
        self._sample(self._metrics)
