"""Measure the time from accepting a configuration until it is in force.

Run as ``python -m benchmarks.propagation``. Three control processes save with
fsync; the sessions of one process follow them over loopback TCP, and one
session writes every 50 ms. Meanwhile the leader is killed and started again,
and another member is stopped (SIGSTOP) and continued. Every session checks
that its revision never decreases.
"""

import os
import signal
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path
from typing import Annotated, Any

import typer
from hdrh.histogram import HdrHistogram
from twisted.internet import reactor as default_reactor
from twisted.internet.defer import inlineCallbacks

from benchmarks.control_members import Members, create_session, pause
from benchmarks.measurements import print_measurement
from benchmarks.state_commands import put_configuration
from wasabiturn.connection.calls import CallError
from wasabiturn.messages.kinds import Method
from wasabiturn.messages.session import Submit
from wasabiturn.messages.state import Outcome
from wasabiturn.process.session import ControlSession

WRITE_SECONDS = 0.05
PHASE_SECONDS = 8.0
SETTLE_SECONDS = 5.0
MICROSECONDS = 1_000_000
LONGEST_MICROSECONDS = 60_000_000
PERCENTILES = (50, 99, 100)

reactor: Any = default_reactor


class Observer:
    """Record when each accepted revision is in force at one session."""

    def __init__(self, session: ControlSession, run: 'Run') -> None:
        self.session = session
        self.run = run
        self.last_revision = 0
        self.decreases = 0
        session.on_change.append(self.observe)

    def observe(self) -> None:
        """Record the revisions that have just come into force."""
        revision = self.session.view.revision
        if revision < self.last_revision:
            self.decreases += 1
        self.run.record_in_force(self, self.last_revision, revision)
        self.last_revision = revision


class Run:
    """Writes, when they were accepted, and the delays at all sessions."""

    def __init__(self) -> None:
        self.number = 0
        self.refused = 0
        self.unknown = 0
        self.accepted_at: dict[int, float] = {}
        self.early_times: dict[int, list[float]] = {}
        self.delays = HdrHistogram(1, LONGEST_MICROSECONDS, 3)

    def record_in_force(self, observer: Observer, old: int, new: int) -> None:
        """Record the delay of each revision from ``old`` to ``new``."""
        now = time.monotonic()
        for revision in range(old + 1, new + 1):
            accepted = self.accepted_at.get(revision)
            if accepted is None:
                self.early_times.setdefault(revision, []).append(now)
            else:
                self.record(now - accepted)

    def record_accepted(self, outcome: Outcome) -> None:
        """Record an accepted write.

        Sessions that saw the revision before the writer got its answer count
        with a delay of 0.
        """
        now = time.monotonic()
        self.accepted_at[outcome.revision] = now
        for _ in self.early_times.pop(outcome.revision, []):
            self.record(0)

    def record(self, seconds: float) -> None:
        """Record one delay."""
        microseconds = max(int(seconds * MICROSECONDS), 1)
        self.delays.record_value(microseconds)

    def write(self, session: ControlSession) -> None:
        """Submit the next write."""
        self.number += 1
        command = put_configuration(self.number)
        sent = session.call_leader(
            Method.submit,
            Submit(command=command),
            Outcome,
            10,
        )
        sent.addCallbacks(self.record_accepted, self.count_failure)

    def count_failure(self, failure: Any) -> None:
        """Count a write that failed, by whether its outcome is known."""
        failure.trap(CallError)
        if failure.value.code.name == 'unavailable':
            self.refused += 1
        else:
            self.unknown += 1

    def report(self, phase: str, observers: list[Observer]) -> None:
        """Print the delays of a phase, then reset them."""
        now = time.monotonic()
        newest = max(self.accepted_at, default=0)
        print_measurement(
            phase,
            accepted=len(self.accepted_at),
            not_run=self.refused,
            unknown=self.unknown,
            delays=self.delays.get_total_count(),
            milliseconds={
                f'p{percentile}': self.delays.get_value_at_percentile(
                    percentile,
                )
                / 1000
                for percentile in PERCENTILES
            },
            sessions_behind=sum(
                each.last_revision < newest for each in observers
            ),
            sessions_fresh=sum(
                each.session.is_fresh(reactor.seconds()) for each in observers
            ),
            revisions_fell=sum(each.decreases for each in observers),
            at=round(now, 1),
        )
        self.delays.reset()


@inlineCallbacks
def drive(members: Members, count: int) -> Any:
    """Write while faults are injected, and print the delays of each phase."""
    yield pause(SETTLE_SECONDS)
    run = Run()
    sessions = [create_session(number, True) for number in range(count)]
    yield pause(SETTLE_SECONDS)
    observers = [Observer(session, run) for session in sessions]
    writer = sessions[0]
    yield write_for(run, writer)
    run.report('steady', observers)
    leader = find_leader(writer)
    members.kill(leader)
    yield write_for(run, writer)
    run.report('leader killed', observers)
    members.start(leader)
    yield write_for(run, writer)
    run.report('killed member started again', observers)
    stopped = members.processes[(leader + 1) % len(members.processes)]
    os.kill(stopped.pid, signal.SIGSTOP)
    yield write_for(run, writer)
    run.report('another member stopped', observers)
    os.kill(stopped.pid, signal.SIGCONT)
    yield write_for(run, writer)
    yield pause(1)
    run.report('stopped member continued', observers)


@inlineCallbacks
def write_for(run: Run, writer: ControlSession) -> Any:
    """Write at the fixed rate for one phase."""
    for _ in range(int(PHASE_SECONDS / WRITE_SECONDS)):
        run.write(writer)
        yield pause(WRITE_SECONDS)


def find_leader(session: ControlSession) -> int:
    """Return the number of the leader."""
    calls: Any = session.call_leader
    return int(calls.__self__.leader.rpartition('-')[2])


def main(
    sessions: Annotated[int, typer.Option(help='Sessions.')] = 40,
) -> None:
    """Print one JSON line for each phase."""
    print_measurement('machine', cpus=os.cpu_count(), sessions=sessions)
    with ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        members = Members(Path(folder), stack)

        def begin() -> None:
            done = drive(members, sessions)
            done.addErrback(lambda failure: failure.printTraceback())
            done.addBoth(lambda _: reactor.stop())

        reactor.callWhenRunning(begin)
        reactor.run()


if __name__ == '__main__':
    typer.run(main)
