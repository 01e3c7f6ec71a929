"""Measure the requests per second and core of the entry, and its overhead.

Runs one control instance, one entry and three agents with stand-in backend
servers, each as a process. Run as ``python -m benchmarks.entry_throughput``.
"""

import os
import tempfile
import time
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram
from twisted.internet import protocol
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater, react

from benchmarks.soak.fleet import SERVICE, Fleet, FleetSize, create_fleet
from wasabiturn.connection.endpoint import Endpoint

WARM_UP_SECONDS = 8.0
MEASURED_SECONDS = 6.0
TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
BUSY_CONNECTIONS = 20
QUIET_CONNECTIONS = 1
FLEET_SIZE = FleetSize(controls=1, entries=1, agents=3, data_centres=1)


class Load:
    """The request to send, and counters of its responses."""

    def __init__(self, path: str) -> None:
        self.request = f'GET {path} HTTP/1.1\r\nHost: bench\r\n\r\n'.encode()
        self.histogram = HdrHistogram(1, 60_000_000, 3)
        self.answered = 0
        self.refused = 0
        self.stopped = False


class Caller(protocol.Protocol):
    """Send one request after another on one connection."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.received = b''
        self.started = 0.0

    def connectionMade(self) -> None:
        """Send the first request."""
        self._send()

    def dataReceived(self, data: bytes) -> None:
        """Count a complete response and send the next request."""
        self.received += data
        head, separator, body = self.received.partition(b'\r\n\r\n')
        if not separator:
            return
        length = head.lower().partition(b'content-length:')[2]
        if len(body) < int(length.split(b'\r\n')[0]):
            return
        self._count(head)
        self.received = b''
        if self.load.stopped:
            self.transport.loseConnection()
        else:
            self._send()

    def _send(self) -> None:
        self.started = time.perf_counter()
        self.transport.write(self.load.request)

    def _count(self, head: bytes) -> None:
        if b' 200 ' in head[:15]:
            latency = time.perf_counter() - self.started
            self.load.histogram.record_value(int(latency * 1_000_000))
            self.load.answered += 1
        else:
            self.load.refused += 1


class CallerFactory(protocol.ClientFactory):
    """Create the callers of one load."""

    noisy = False

    def __init__(self, load: Load) -> None:
        self.load = load

    def buildProtocol(self, addr: Any) -> Caller:
        """Return a new caller."""
        return Caller(self.load)


@inlineCallbacks
def run(reactor: Any) -> Any:
    """Measure requests sent directly and through the entry, quiet and busy."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = create_fleet(Path(folder), FLEET_SIZE)
        try:
            fleet.start()
            yield deferLater(reactor, WARM_UP_SECONDS)
            yield _measure_all(reactor, fleet)
        finally:
            fleet.stop()
            fleet.kill()


@inlineCallbacks
def _measure_all(reactor: Any, fleet: Fleet) -> Any:
    backend = fleet.endpoint('backend-1')
    entry = fleet.endpoint('entry-1')
    path = f'/{SERVICE}/quote'
    for connections in (QUIET_CONNECTIONS, BUSY_CONNECTIONS):
        for name, endpoint, target in (
            ('direct', backend, '/quote'),
            ('path', entry, path),
        ):
            before = _cpu_seconds(fleet)
            load = Load(target)
            yield _run_load(reactor, load, endpoint, connections)
            _report(f'{name}, {connections} connections', load)
            if name == 'path':
                _report_cpu(before, _cpu_seconds(fleet), load)


@inlineCallbacks
def _run_load(
    reactor: Any,
    load: Load,
    endpoint: Endpoint,
    connections: int,
) -> Any:
    factory = CallerFactory(load)
    for _ in range(connections):
        reactor.connectTCP(endpoint.host, endpoint.port, factory)
    yield deferLater(reactor, MEASURED_SECONDS)
    load.stopped = True
    yield deferLater(reactor, 1.0)


def _cpu_seconds(fleet: Fleet) -> dict[str, float]:
    """Return the CPU time in seconds of each program since its start."""
    seconds_by_program = {}
    for name, program in fleet.programs_by_name.items():
        if program.process is not None:
            stat = Path(f'/proc/{program.process.pid}/stat').read_text()
            fields = stat.rpartition(')')[2].split()
            ticks = int(fields[11]) + int(fields[12])
            seconds_by_program[name] = ticks / TICKS_PER_SECOND
    return seconds_by_program


def _report(title: str, load: Load) -> None:
    times = ' '.join(
        f'p{each} {load.histogram.get_value_at_percentile(each) / 1000:.2f}'
        for each in (50, 99, 99.9)
    )
    rate = load.answered / MEASURED_SECONDS
    print(f'{title}: {rate:.0f}/s, refused {load.refused}, {times} ms')


def _report_cpu(
    before: dict[str, float],
    after: dict[str, float],
    load: Load,
) -> None:
    entry = after['entry-1'] - before['entry-1']
    agents = sum(
        after[name] - before[name] for name in after if name.startswith('agent')
    )
    for role, seconds in (('entry', entry), ('agent', agents)):
        cpu_per_request = seconds / load.answered
        print(
            f'  {role}: {cpu_per_request * 1e6:.0f} us a request, '
            f'{1 / cpu_per_request:.0f}/s/core',
        )


if __name__ == '__main__':
    react(run)
