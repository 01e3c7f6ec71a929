"""Measure how costs grow with sessions and watches on three control processes.

Run as ``python -m benchmarks.state_slopes``. Members save with fsync; sessions
and watches use loopback TCP. CPU time and memory of the members are read from
/proc; the sessions run in this process.
"""

import itertools
import os
import sys
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import typer
from twisted.internet import reactor as default_reactor
from twisted.internet.defer import Deferred, inlineCallbacks

from benchmarks.control_members import Members, create_session, pause
from benchmarks.measurements import print_measurement
from benchmarks.state_commands import put_configuration
from wasabiturn.connection import link as link_module
from wasabiturn.messages.kinds import Kind, Method
from wasabiturn.messages.session import Submit, WatchRequest
from wasabiturn.messages.state import Outcome
from wasabiturn.process.session import ControlSession

SETTLE_SECONDS = 4.0
IDLE_SECONDS = 10.0
COMMITS = 100

# Numbers are unique: a repeated request ID is a resend and changes nothing.
_numbers = itertools.count(1)

reactor: Any = default_reactor


class ByteCounter:
    """Count the bytes that the sessions of this process send and receive."""

    def __init__(self) -> None:
        self.sent = 0
        self.received = 0

    def install(self) -> None:
        """Start counting, by patching the frame encoder and decoder."""
        encode = link_module.encode_frame
        feed = link_module.FrameBuffer.feed

        def counting_encode(payload: bytes) -> bytes:
            frame = encode(payload)
            self.sent += len(frame)
            return frame

        def counting_feed(buffer: Any, data: bytes) -> Any:
            self.received += len(data)
            return feed(buffer, data)

        link_module.encode_frame = counting_encode
        link_module.FrameBuffer.feed = counting_feed


class Writer:
    """Commit commands through one session; the caller waits for each."""

    def __init__(self, session: ControlSession) -> None:
        self.session = session

    def commit(self) -> Deferred[Outcome]:
        """Submit the next write to the leader."""
        message = Submit(command=put_configuration(next(_numbers)))
        return self.session.call_leader(Method.submit, message, Outcome, 5)


class Sample:
    """Readings from which to measure what members and this process use."""

    def __init__(self, members: Members, counter: ByteCounter) -> None:
        self.members = members
        self.counter = counter
        self.started = time.monotonic()
        self.cpu = members.cpu_seconds()
        self.own_cpu = time.process_time()
        self.sent = counter.sent
        self.received = counter.received

    def measure(self) -> dict[str, Any]:
        """Return the resources used since the sample was created."""
        seconds = time.monotonic() - self.started
        spent = [
            round(now - before, 2)
            for now, before in zip(
                self.members.cpu_seconds(),
                self.cpu,
                strict=True,
            )
        ]
        return {
            'seconds': round(seconds, 2),
            'member_cpu_seconds': spent,
            'member_memory_kb': self.members.memory_kb(),
            'session_side_cpu_seconds': round(
                time.process_time() - self.own_cpu,
                3,
            ),
            'bytes_to_members': self.counter.sent - self.sent,
            'bytes_from_members': self.counter.received - self.received,
        }


@inlineCallbacks
def measure_sessions(members: Members, directory: bool) -> Any:
    """Print the cost of idling and of commits, by number of sessions."""
    counter = ByteCounter()
    counter.install()
    writer = Writer(create_session(0, directory=True))
    sessions: list[ControlSession] = [writer.session]
    title = 'entry-like' if directory else 'agent-like'
    for count in (1, 50, 100, 150):
        while len(sessions) < count:
            sessions.append(create_session(len(sessions), directory))
        yield pause(SETTLE_SECONDS)
        idle = Sample(members, counter)
        yield pause(IDLE_SECONDS)
        print_measurement(
            f'idle, {title} sessions', sessions=count, **idle.measure()
        )
        busy = Sample(members, counter)
        for _ in range(COMMITS):
            yield writer.commit()
        print_measurement(
            f'commits one by one, {title} sessions',
            sessions=count,
            commits=COMMITS,
            **busy.measure(),
        )
    for session in sessions:
        session.stop()
    yield pause(1)


class WatchReceiver:
    """Receiver that consumes a watch as fast as it arrives."""

    def __init__(self) -> None:
        self.stream: Any = None
        self.received = 0

    def data_received(self, chunk: bytes) -> None:
        """Count the bytes and grant new credit."""
        self.received += len(chunk)
        self.stream.consumed(len(chunk))

    def end_received(self) -> None:
        """Do nothing: the benchmark does not reopen the watch."""

    def reset_received(self, reason: str) -> None:
        """Do nothing: the benchmark does not reopen the watch."""

    def writable(self) -> None:
        """Do nothing: this side sends no data."""


@inlineCallbacks
def measure_watches(members: Members) -> Any:
    """Print the cost of idling and of commits, by number of watches."""
    counter = ByteCounter()
    writer = Writer(create_session(0, directory=True))
    yield pause(SETTLE_SECONDS)
    receivers: list[WatchReceiver] = []
    link = writer.session.open_links()[0]
    for count in (0, 20, 60, 120):
        while len(receivers) < count:
            receiver = WatchReceiver()
            head = WatchRequest(kind=int(Kind.configuration), since=-1)
            receiver.stream = link.open_stream(Method.watch, head, receiver)
            receivers.append(receiver)
        yield pause(2)
        idle = Sample(members, counter)
        yield pause(IDLE_SECONDS)
        print_measurement('idle, watches', watches=count, **idle.measure())
        before = sum(receiver.received for receiver in receivers)
        busy = Sample(members, counter)
        for _ in range(COMMITS):
            yield writer.commit()
        print_measurement(
            'commits one by one, watches at one member',
            watches=count,
            commits=COMMITS,
            watched_bytes=sum(receiver.received for receiver in receivers)
            - before,
            **busy.measure(),
        )
    writer.session.stop()
    yield pause(1)


@inlineCallbacks
def measure_processes(members: Members) -> Any:
    """Run the measurements one after another."""
    yield pause(SETTLE_SECONDS)
    yield measure_watches(members)
    yield measure_sessions(members, directory=False)
    yield measure_sessions(members, directory=True)


def main() -> None:
    """Print one JSON line for each measurement."""
    print_measurement(
        'machine', cpus=os.cpu_count(), python=sys.version.split()[0]
    )
    with ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        members = Members(Path(folder), stack)

        def begin() -> None:
            done = measure_processes(members)
            done.addErrback(lambda failure: failure.printTraceback())
            done.addBoth(lambda _: reactor.stop())

        reactor.callWhenRunning(begin)
        reactor.run()


if __name__ == '__main__':
    typer.run(main)
