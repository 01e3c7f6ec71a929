"""Slopes of sessions and watches on three control processes.

Run as ``python -m benchmarks.state_slopes``: members with fsync, sessions and
watches over loopback TCP. Processor time and memory of the members are read
from /proc; the sessions' side is this process.
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

# A number that came twice would be a resend, which changes nothing.
_numbers = itertools.count(1)

reactor: Any = default_reactor


class Counter:
    """Bytes that the sessions of this process sent and received."""

    def __init__(self) -> None:
        self.sent = 0
        self.received = 0

    def install(self) -> None:
        """Count from now on."""
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


class Load:
    """Commits one command after the other, and waits for each."""

    def __init__(self, session: ControlSession) -> None:
        self.session = session

    def commit(self) -> Deferred[Outcome]:
        """Commit the next write."""
        message = Submit(command=put_configuration(next(_numbers)))
        return self.session.call_leader(Method.submit, message, Outcome, 5)


class Sample:
    """Spent by members and by this process since the sample was taken."""

    def __init__(self, members: Members, counter: Counter) -> None:
        self.members = members
        self.counter = counter
        self.started = time.monotonic()
        self.cpu = members.cpu_seconds()
        self.own_cpu = time.process_time()
        self.sent = counter.sent
        self.received = counter.received

    def figures(self) -> dict[str, Any]:
        """Return what was spent."""
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
    """Print what idle sessions and commits cost by number of sessions."""
    counter = Counter()
    counter.install()
    load = Load(create_session(0, directory=True))
    sessions: list[ControlSession] = [load.session]
    title = 'entry-like' if directory else 'agent-like'
    for count in (1, 50, 100, 150):
        while len(sessions) < count:
            sessions.append(create_session(len(sessions), directory))
        yield pause(SETTLE_SECONDS)
        idle = Sample(members, counter)
        yield pause(IDLE_SECONDS)
        print_measurement(
            f'idle, {title} sessions', sessions=count, **idle.figures()
        )
        busy = Sample(members, counter)
        for _ in range(COMMITS):
            yield load.commit()
        print_measurement(
            f'commits one by one, {title} sessions',
            sessions=count,
            commits=COMMITS,
            **busy.figures(),
        )
    for session in sessions:
        session.stop()
    yield pause(1)


class Drain:
    """Receiver that reads a watch as fast as it comes."""

    def __init__(self) -> None:
        self.stream: Any = None
        self.received = 0

    def data_received(self, chunk: bytes) -> None:
        """Read and grant credit."""
        self.received += len(chunk)
        self.stream.consumed(len(chunk))

    def end_received(self) -> None:
        """Nothing follows."""

    def reset_received(self, reason: str) -> None:
        """Nothing follows."""

    def writable(self) -> None:
        """Nothing is sent."""


@inlineCallbacks
def measure_watches(members: Members) -> Any:
    """Print what idle watches and commits cost by number of watches."""
    counter = Counter()
    load = Load(create_session(0, directory=True))
    yield pause(SETTLE_SECONDS)
    drains: list[Drain] = []
    link = load.session.open_links()[0]
    for count in (0, 20, 60, 120):
        while len(drains) < count:
            drain = Drain()
            head = WatchRequest(kind=int(Kind.configuration), since=-1)
            drain.stream = link.open_stream(Method.watch, head, drain)
            drains.append(drain)
        yield pause(2)
        idle = Sample(members, counter)
        yield pause(IDLE_SECONDS)
        print_measurement('idle, watches', watches=count, **idle.figures())
        before = sum(drain.received for drain in drains)
        busy = Sample(members, counter)
        for _ in range(COMMITS):
            yield load.commit()
        print_measurement(
            'commits one by one, watches at one member',
            watches=count,
            commits=COMMITS,
            watched_bytes=sum(drain.received for drain in drains) - before,
            **busy.figures(),
        )
    load.session.stop()
    yield pause(1)


@inlineCallbacks
def measure_processes(members: Members) -> Any:
    """Run the measurements one after the other."""
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
