"""Measure the memory of the agent while it forwards large bodies.

A 200 MB response goes to a slow reader, then a 200 MB request goes to the
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
    start_program,
)
from wasabiturn.connection.dialer import Dialer
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.endpoint import Endpoint
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
    """Count the bytes of one request and read its response at a fixed rate."""

    def __init__(self, upload_bytes: int, bytes_per_second: float) -> None:
        self.remaining_bytes = upload_bytes
        self.bytes_per_second = bytes_per_second
        self.received = 0
        self.reader_free_at = 0.0
        self.outcome = 'no answer'
        self.head: ResponseHead | None = None
        self.stream: Stream | None = None
        self.is_done = False

    def data_received(self, chunk: bytes) -> None:
        """Count the bytes and consume them at the speed of the reader."""
        if self.head is None:
            self.head = unpack(ResponseHead, chunk)
            return
        self.received += len(chunk)
        if self.stream is not None:
            now = reactor.seconds()
            self.reader_free_at = max(self.reader_free_at, now)
            self.reader_free_at += len(chunk) / self.bytes_per_second
            wait = self.reader_free_at - now
            reactor.callLater(wait, self.stream.consumed, len(chunk))

    def end_received(self) -> None:
        """Record that the response is complete."""
        self.is_done = True
        if self.head is not None:
            self.outcome = f'whole, {self.head.status} {self.head.reason}'

    def reset_received(self, reason: str) -> None:
        """Record that the response was cut off."""
        self.is_done = True
        self.outcome = f'reset: {reason}'

    def writable(self) -> None:
        """Continue to send."""
        self.send()

    def send(self) -> None:
        """Send until the peer grants no more credit."""
        while self.remaining_bytes and self.stream is not None:
            size = min(self.remaining_bytes, CHUNK_BYTES)
            self.remaining_bytes -= size
            if not self.stream.write(bytes(size)):
                break
        if not self.remaining_bytes and self.stream is not None:
            self.stream.end()


@attrs.frozen
class TransferStep:
    """Parameters of one measured transfer."""

    name: str
    method: str
    upload_bytes: int
    fault: str
    read_speed: float


def main(megabytes: int = 200, reader_megabytes_a_second: float = 20) -> None:
    """Measure the memory of the agent and print the results."""
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        settings = folder / 'agent.ini'
        settings.write_text(SETTINGS % (folder / 'agent.log'))
        agent = start_program(
            ['-m', 'wasabiturn', 'agent', str(settings)], stack
        )
        start_program(
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
        read_speed = reader_megabytes_a_second * MEGABYTE
        steps = [
            TransferStep(
                'answer to a slow reader', 'GET', 0, f'large={size}', read_speed
            ),
            TransferStep('upload', 'POST', size, '', read_speed),
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
    """Create a dialer that presents itself to the agent as an entry."""
    hello = Hello(
        name='entry-1',
        role=Role.entry,
        incarnation='benchmark',
        protocol_version=PROTOCOL_VERSION,
    )
    endpoint = Endpoint(HOST, AGENT_PORT)
    return Dialer(endpoint, Dispatch(hello=hello), reactor, Random(1))


def run_next(dialer: Dialer, pid: int, steps: list[TransferStep]) -> None:
    """Run the next transfer, or stop the reactor after the last one."""
    if not steps or dialer.link is None:
        reactor.stop()
        return
    step = steps.pop(0)
    transfer = Transfer(step.upload_bytes, step.read_speed)
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
    samples = [before]

    def sample() -> None:
        samples.append(rss_mb(pid))
        if not transfer.is_done:
            reactor.callLater(SAMPLE_SECONDS, sample)
            return
        seconds = reactor.seconds() - started
        print(
            f'{step.name}: {transfer.outcome}, sent={step.upload_bytes}',
            end=' ',
        )
        print(f'received={transfer.received} seconds={seconds:.1f}', end=' ')
        print(f'agent rss_mb before={before:.1f} most={max(samples):.1f}')
        run_next(dialer, pid, steps)

    sample()


if __name__ == '__main__':
    typer.run(main)
