"""Memory of the agent while large bodies pass through it.

One answer of 200 MB goes to a slow reader, then one request of 200 MB to the
backend server. Run as ``python -m benchmarks.agent_large_bodies``.
"""

import tempfile
from contextlib import ExitStack
from pathlib import Path
from random import Random

import attrs
import typer

from benchmarks.agent_throughput import (
    AGENT_PORT,
    ANNOUNCE_PORT,
    BACKEND_PORT,
    HOST,
    SETTINGS,
    reactor,
    rss_mb,
    start,
)
from wasabiturn.connection.dialer import Dialer, Endpoint
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.link import PROTOCOL_VERSION
from wasabiturn.connection.streams import Stream
from wasabiturn.messages.codec import unpack
from wasabiturn.messages.kinds import Method, Role
from wasabiturn.messages.link import Hello
from wasabiturn.messages.session import RequestHead, ResponseHead
from wasabiturn.messages.state import Header

MEGABYTE = 1024 * 1024
CHUNK_BYTES = 65536
WARM_UP_SECONDS = 6.0
SAMPLE_SECONDS = 0.05


class Transfer:
    """One request whose bytes are counted."""

    def __init__(self, sent: int, bytes_a_second: float) -> None:
        self.left = sent
        self.bytes_a_second = bytes_a_second
        self.received = 0
        self.free_at = 0.0
        self.outcome = 'no answer'
        self.head: ResponseHead | None = None
        self.stream: Stream | None = None
        self.is_over = False

    def data_received(self, chunk: bytes) -> None:
        """Use the bytes at the speed of the reader."""
        if self.head is None:
            self.head = unpack(ResponseHead, chunk)
            return
        self.received += len(chunk)
        if self.stream is not None:
            now = reactor.seconds()
            self.free_at = max(self.free_at, now)
            self.free_at += len(chunk) / self.bytes_a_second
            wait = self.free_at - now
            reactor.callLater(wait, self.stream.consumed, len(chunk))

    def end_received(self) -> None:
        """Note a whole answer."""
        self.is_over = True
        if self.head is not None:
            self.outcome = f'whole, {self.head.status} {self.head.reason}'

    def reset_received(self, reason: str) -> None:
        """Note a broken answer."""
        self.is_over = True
        self.outcome = f'reset: {reason}'

    def writable(self) -> None:
        """Send on."""
        self.send()

    def send(self) -> None:
        """Send until the peer grants no more."""
        while self.left and self.stream is not None:
            size = min(self.left, CHUNK_BYTES)
            self.left -= size
            if not self.stream.write(bytes(size)):
                break
        if not self.left and self.stream is not None:
            self.stream.end()


@attrs.frozen
class Step:
    """One measured transfer."""

    name: str
    method: str
    sent: int
    fault: str
    speed: float


def main(megabytes: int = 200, reader_megabytes_a_second: float = 20) -> None:
    """Measure and print raw figures."""
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        settings = folder / 'agent.ini'
        settings.write_text(SETTINGS % (folder / 'agent.log'))
        agent = start(['-m', 'wasabiturn', 'agent', str(settings)], stack)
        start(
            [
                *('-m', 'wasabiturn.standins.backend'),
                *('--listen', f'{HOST}:{BACKEND_PORT}'),
                *('--announce', f'{HOST}:{ANNOUNCE_PORT}'),
                *('--service', 'standdesk'),
            ],
            stack,
        )
        dialer = create_dialer()
        size = megabytes * MEGABYTE
        speed = reader_megabytes_a_second * MEGABYTE
        steps = [
            Step('answer to a slow reader', 'GET', 0, f'large={size}', speed),
            Step('upload', 'POST', size, '', speed),
        ]
        reactor.callLater(
            WARM_UP_SECONDS,
            run_next,
            dialer,
            agent.pid,
            steps,
        )
        dialer.start()
        reactor.run()


def create_dialer() -> Dialer:
    """Create the link of a stand-in for an entry."""
    hello = Hello(
        name='entry-1',
        role=Role.entry,
        incarnation='benchmark',
        protocol_version=PROTOCOL_VERSION,
    )
    endpoint = Endpoint(HOST, AGENT_PORT)
    return Dialer(endpoint, Dispatch(hello=hello), reactor, Random(1))


def run_next(dialer: Dialer, pid: int, steps: list[Step]) -> None:
    """Run the next transfer, or stop."""
    if not steps or dialer.link is None:
        reactor.stop()
        return
    step = steps.pop(0)
    transfer = Transfer(step.sent, step.speed)
    head = RequestHead(
        request_id=step.name,
        service_name='standdesk',
        method=step.method,
        path='/large',
        headers=[Header(name='Standin-Fault', value=step.fault)],
        timeout_ms=120_000.0,
        idempotent=True,
    )
    before = rss_mb(pid)
    started = reactor.seconds()
    transfer.stream = dialer.link.open_stream(Method.serve, head, transfer)
    transfer.send()
    most = [before]

    def sample() -> None:
        most.append(rss_mb(pid))
        if not transfer.is_over:
            reactor.callLater(SAMPLE_SECONDS, sample)
            return
        seconds = reactor.seconds() - started
        print(f'{step.name}: {transfer.outcome}, sent={step.sent}', end=' ')
        print(f'received={transfer.received} seconds={seconds:.1f}', end=' ')
        print(f'agent rss_mb before={before:.1f} most={max(most):.1f}')
        run_next(dialer, pid, steps)

    sample()


if __name__ == '__main__':
    typer.run(main)
