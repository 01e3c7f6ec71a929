"""Metrics sent to statsd over UDP; an unreachable statsd is tolerated."""

import socket
from typing import Protocol, final

import attrs
from statsd import StatsClient

from wasabiturn.utils.logs import create_component_log

_log = create_component_log('metrics')


class Metrics(Protocol):
    """Sink of counters, gauges and timings."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add ``count`` to a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration in milliseconds."""


@final
@attrs.define
class NoMetrics:
    """Sink that discards all metrics, for processes without statsd."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Discard a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Discard a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Discard a timing."""


def create_metrics(address: tuple[str, int] | None, prefix: str) -> Metrics:
    """Create the sink for ``address`` (IP, port); without one, discard all.

    If statsd refuses datagrams, this is logged once; it may start later.
    """
    if address is None:
        return NoMetrics()
    reason = _find_refusal(address)
    if reason:
        _log.warning(
            'statsd cannot be reached',
            address=f'{address[0]}:{address[1]}',
            reason=reason,
        )
    return StatsClient(address[0], address[1], prefix=prefix)


def _find_refusal(address: tuple[str, int]) -> str:
    """Return why statsd refuses datagrams, or an empty text.

    Sends two empty datagrams: if nothing listens, the second call fails with
    the ICMP error that the first one caused.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        try:
            probe.connect(address)
            probe.send(b'')
            probe.send(b'')
        except OSError as error:
            return str(error)
    return ''
