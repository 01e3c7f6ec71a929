"""Measure the requests per second and core of the agent.

Runs an agent and a stand-in backend server as processes, and sends requests
to the agent over links, as entries do. Run as
``python -m benchmarks.agent_throughput``.
"""

import os
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path
from random import Random
from typing import Annotated, Any

import typer
from hdrh.histogram import HdrHistogram
from twisted.internet import reactor as default_reactor

from wasabiturn.connection.dialer import Dialer
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.endpoint import Endpoint
from wasabiturn.connection.link import PROTOCOL_VERSION
from wasabiturn.connection.streams import Stream
from wasabiturn.messages.codec import unpack
from wasabiturn.messages.kinds import Method, Role, Verdict
from wasabiturn.messages.link import Hello
from wasabiturn.messages.session import RequestHead, ResponseHead
from wasabiturn.messages.state import Header

HOST = '127.0.0.1'
AGENT_PORT = 17431
ANNOUNCE_PORT = 17432
BACKEND_PORT = 17433
WARM_UP_SECONDS = 2.5
SETTINGS = f"""
[instance]
name = agent-1
data_centre = dc-a
[agent]
listen = {HOST}:{AGENT_PORT}
announce_listen = {HOST}:{ANNOUNCE_PORT}
control = {HOST}:17439
[logging]
file = %s
level = decision
"""

reactor: Any = default_reactor


class Caller:
    """Send one request after another on one link."""

    def __init__(self, load: 'Load', dialer: Dialer) -> None:
        self.load = load
        self.dialer = dialer
        self.stream: Stream | None = None

    def send(self) -> None:
        """Send the next request on a stream of its own."""
        self.started = time.perf_counter()
        self.is_answer = False
        self.head: ResponseHead | None = None
        link = self.dialer.link
        if link is None:
            reactor.callLater(0.01, self.send)
            return
        self.stream = link.open_stream(Method.serve, self.load.head, self)
        if self.load.body:
            self.stream.write(self.load.body)
        self.stream.end()

    def data_received(self, chunk: bytes) -> None:
        """Decode the response head, then count the bytes of the body."""
        if self.head is None:
            self.head = unpack(ResponseHead, chunk)
        elif self.stream is not None:
            self.stream.consumed(len(chunk))
            self.load.received += len(chunk)

    def end_received(self) -> None:
        """Count the response and send the next request."""
        self.load.count(self.head, time.perf_counter() - self.started)
        reactor.callLater(0, self.send)

    def reset_received(self, reason: str) -> None:
        """Count a reset stream and send the next request after 10 ms."""
        self.load.resets += 1
        reactor.callLater(0.01, self.send)

    def writable(self) -> None:
        """Do nothing: request bodies fit into the flow-control window."""


class Load:
    """The request to send, and counters for the measured period."""

    def __init__(self, body_bytes: int) -> None:
        self.body = bytes(body_bytes)
        self.answered = 0
        self.refused = 0
        self.resets = 0
        self.received = 0
        self.histogram = HdrHistogram(1, 60_000_000, 3)
        self.head = RequestHead(
            request_id='01HZX5V6T8QK',
            service_name='standdesk',
            method='POST' if body_bytes else 'GET',
            path='/stands/17?hall=3',
            headers=[
                Header(name='Host', value='standdesk.example'),
                Header(name='Accept', value='application/json'),
                Header(name='User-Agent', value='benchmark'),
            ],
            timeout_ms=5000.0,
            idempotent=True,
            caller='benchmark',
        )

    def count(self, head: ResponseHead | None, seconds: float) -> None:
        """Count one completed request."""
        if head is not None and head.verdict is Verdict.answered:
            self.answered += 1
            self.histogram.record_value(int(seconds * 1_000_000))
        else:
            self.refused += 1

    def clear(self) -> None:
        """Reset the counters at the start of the measured period."""
        self.answered = 0
        self.refused = 0
        self.resets = 0
        self.histogram.reset()


def main(
    seconds: float = 8.0,
    links: int = 2,
    callers: int = 16,
    slots: int = 16,
    service_ms: float = 1.0,
    body_bytes: int = 0,
    profile: Annotated[Path | None, typer.Option()] = None,
) -> None:
    """Measure the throughput of the agent and print the results."""
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        settings = folder / 'agent.ini'
        settings.write_text(SETTINGS % (folder / 'agent.log'))
        profiled = ['-m', 'cProfile', '-o', str(profile)] if profile else []
        agent = start_program(
            [*profiled, '-m', 'wasabiturn', 'agent', str(settings)],
            stack,
        )
        backend = start_program(
            [
                *('-m', 'wasabiturn.standins.backend'),
                *('--listen', f'{HOST}:{BACKEND_PORT}'),
                *('--announce', f'{HOST}:{ANNOUNCE_PORT}'),
                *('--service', 'standdesk', '--slots', str(slots)),
                *('--service-ms', str(service_ms)),
            ],
            stack,
        )
        load = Load(body_bytes)
        run(load, links, callers, seconds, agent.pid, backend.pid)


def start_program(
    arguments: list[str],
    stack: ExitStack,
) -> subprocess.Popen[bytes]:
    """Start a Python program that is terminated when the stack closes."""
    process = subprocess.Popen([sys.executable, *arguments])
    stack.callback(process.wait, 10)
    stack.callback(process.terminate)
    return process


def run(
    load: Load,
    links: int,
    callers: int,
    seconds: float,
    agent_pid: int,
    backend_pid: int,
) -> None:
    """Generate the load and print the results."""
    dispatch = Dispatch(
        hello=Hello(
            name='entry-1',
            role=Role.entry,
            incarnation='benchmark',
            protocol_version=PROTOCOL_VERSION,
        ),
    )
    dialers = [
        Dialer(Endpoint(HOST, AGENT_PORT), dispatch, reactor, Random(number))
        for number in range(links)
    ]
    for dialer in dialers:
        dialer.start()
    for number in range(callers):
        caller = Caller(load, dialers[number % links])
        reactor.callLater(WARM_UP_SECONDS / 2, caller.send)
    before: dict[int, float] = {}

    def begin() -> None:
        load.clear()
        before.update(
            {pid: cpu_seconds(pid) for pid in (agent_pid, backend_pid)}
        )

    def finish() -> None:
        agent_cpu = cpu_seconds(agent_pid) - before[agent_pid]
        backend_cpu = cpu_seconds(backend_pid) - before[backend_pid]
        report(load, seconds, agent_cpu, backend_cpu)
        print(f'agent rss_mb={rss_mb(agent_pid):.1f}')

    reactor.callLater(WARM_UP_SECONDS, begin)
    reactor.callLater(WARM_UP_SECONDS + seconds, finish)
    reactor.callLater(WARM_UP_SECONDS + seconds + 1, reactor.stop)
    reactor.run()


def report(
    load: Load, seconds: float, agent_cpu: float, backend_cpu: float
) -> None:
    """Print the results of one run."""
    per_core = load.answered / agent_cpu if agent_cpu else 0.0
    quantiles = {
        percentile: load.histogram.get_value_at_percentile(percentile) / 1000
        for percentile in (50, 99, 99.9)
    }
    print(f'answered={load.answered} refused={load.refused}', end=' ')
    print(f'resets={load.resets} rate={load.answered / seconds:.0f}/s', end=' ')
    print(f'latency_ms={quantiles}')
    print(f'agent cpu_s={agent_cpu:.2f} requests_per_core_s={per_core:.0f}')
    print(f'backend cpu_s={backend_cpu:.2f}')


def cpu_seconds(pid: int) -> float:
    """Return the CPU time in seconds that a process has used."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


def rss_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / 1024
    return 0.0


if __name__ == '__main__':
    typer.run(main)
