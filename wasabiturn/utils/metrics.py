"""Metrics sent to statsd over UDP; an unreachable statsd stops nothing."""

import socket
from typing import Protocol, final

import attrs
from statsd import StatsClient

from wasabiturn.utils.logs import create_part_log

_log = create_part_log('metrics')


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
    """Sink that drops everything, for processes without statsd."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Drop a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Drop a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Drop a timing."""


def create_metrics(address: tuple[str, int] | None, prefix: str) -> Metrics:
    """Create the sink for ``address`` (IP, port), or one that drops all.

    A statsd that refuses datagrams is logged once; it may come up later.
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
    """Send empty datagrams; the second meets the refusal of the first."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        try:
            probe.connect(address)
            probe.send(b'')
            probe.send(b'')
        except OSError as error:
            return str(error)
    return ''
