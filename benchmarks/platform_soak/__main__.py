"""Run a soak: ``python -m benchmarks.platform_soak --seconds 40 --seed 1``."""

import json
import sys
from pathlib import Path
from random import Random
from typing import Annotated, Any, final

import attrs
import typer
from twisted.internet import reactor as default_reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater, react

from benchmarks.platform_soak import checks
from benchmarks.platform_soak.callers import OK, Callers
from benchmarks.platform_soak.calls import CallPool, send_call
from benchmarks.platform_soak.changes import Changes, create_configuration
from benchmarks.platform_soak.faults import FaultInjector
from benchmarks.platform_soak.fleet import Fleet, FleetSize, create_fleet
from benchmarks.platform_soak.idle import CALM_SECONDS, IdleWatch
from benchmarks.platform_soak.journal import Journal
from benchmarks.platform_soak.limits_watch import LimitsWatch
from benchmarks.platform_soak.settings import DISK_MB, MEMORY_MB
from benchmarks.platform_soak.starvation import StarvationWatch
from benchmarks.platform_soak.untrusted import UntrustedClients
from benchmarks.soak.checker import Report
from wasabiturn.utils.clock import use_boot_clock

DEFAULT_FOLDER = Path('data/platform-soak')
# Time for all programs to start and for the group to form.
START_SECONDS = 40.0
# Within this time after the last fault all accepted jobs are done: an order
# without an answer may be carried out for 15 s, a lease lasts 6 s, and the jobs
# that then start take two steps of 4.4 s.
SETTLE_SECONDS = 45.0
LOOK_SECONDS = 0.1
CALL_SECONDS = 1.0
JOB_PAUSE_SECONDS = (0.2, 0.7)


@final
@attrs.define(eq=False)
class Soak:
    """One soak: its fleet, load, faults and checks."""

    reactor: Any
    fleet: Fleet
    journal: Journal
    callers: Callers
    faults: FaultInjector
    idle: IdleWatch
    starvation: StarvationWatch
    untrusted: UntrustedClients
    changes: Changes
    limits: LimitsWatch

    @inlineCallbacks
    def run(self, seconds: float) -> Any:
        """Run load and faults, settle, and return the report."""
        self.fleet.start()
        self.limits.start()
        yield self._configure()
        self.starvation.start()
        submitted = self.callers.run()
        self.faults.start()
        self.untrusted.start()
        self.changes.start()
        yield self._pause(seconds)
        self.callers.is_submitting = False
        self.faults.is_stopped = True
        self.untrusted.is_stopped = True
        self.changes.is_stopped = True
        yield submitted
        yield self._settle()
        self.callers.is_stopped = True
        self.limits.stop()
        return self._check()

    @inlineCallbacks
    def _configure(self) -> Any:
        """Send the configuration until it is accepted.

        Raises:
            RuntimeError: no entry has accepted it in time.
        """
        until = self.journal.now() + START_SECONDS
        request = create_configuration(self.changes.version)
        while self.journal.now() < until:
            entry = self.faults.random.choice(self.fleet.entries())
            answer = yield send_call(
                self.reactor,
                self.fleet.operators_endpoint(entry),
                request,
                'operator',
                CALL_SECONDS,
            )
            if answer.status == OK:
                return
            yield self._pause(LOOK_SECONDS)
        raise RuntimeError(
            f'no configuration; ended: {self.fleet.find_ended()}'
        )

    @inlineCallbacks
    def _settle(self) -> Any:
        """Wait until all accepted jobs are final, or for too long."""
        while not self.faults.is_calm():
            yield self._pause(LOOK_SECONDS)
        calm_at = self.journal.now()
        while self.callers.open_jobs():
            yield self._pause(LOOK_SECONDS)
            calm_seconds = self.journal.now() - calm_at
            if calm_seconds > CALM_SECONDS:
                self.idle.look(self.callers.open_jobs())
            if calm_seconds > SETTLE_SECONDS:
                return

    def _check(self) -> Report:
        report = Report()
        checks.check_runs(report, self.journal.runs)
        checks.check_jobs(report, self.callers.jobs, self.journal.runs)
        checks.check_calls(report, self.journal)
        idle = '; '.join(self.idle.find_violations())
        report.check('no job idle beside room at the end', not idle, idle)
        ended = self.fleet.find_ended()
        report.check('no program ends by itself', not ended, f'{ended}')
        overdue = self.faults.overdue_stops
        report.check('a stop takes its grace', not overdue, f'{overdue}')
        excesses = self.limits.find_excesses()
        report.check('each stays in its instance', not excesses, f'{excesses}')
        counts = report.counts_by_name
        counts['bursts of untrusted clients'] = self.untrusted.bursts
        counts['configurations accepted'] = self.changes.accepted
        counts['signals to reload'] = self.changes.signals
        for what in ('memory MB', 'descriptors', 'disk MB'):
            counts[f'largest {what}'] = self.limits.find_largest(what)
        counts.update(f'fault {fault.kind}' for fault in self.journal.faults)
        counts['longest idle ms'] = round(self.idle.longest_seconds * 1000)
        return report

    def _pause(self, seconds: float) -> Any:
        return deferLater(self.reactor, seconds, _do_nothing)


def create_soak(
    folder: Path, seed: int, fleet_size: FleetSize, reactor: Any
) -> Soak:
    """Create the soak of ``seed`` with all its parts."""
    began_at = reactor.seconds()
    journal = Journal(
        folder / 'journal.jsonl', now=lambda: reactor.seconds() - began_at
    )
    fleet = create_fleet(folder, reactor, journal, fleet_size)
    return Soak(
        reactor=reactor,
        fleet=fleet,
        journal=journal,
        callers=Callers(
            reactor=reactor,
            fleet=fleet,
            journal=journal,
            random=Random(seed),
            pause_seconds=JOB_PAUSE_SECONDS,
            pool=CallPool(reactor),
        ),
        faults=FaultInjector(
            reactor=reactor,
            fleet=fleet,
            journal=journal,
            random=Random(seed + 1),
        ),
        idle=IdleWatch(journal, list(fleet.workers_by_name.values())),
        starvation=StarvationWatch(reactor, fleet, journal),
        untrusted=UntrustedClients(reactor, fleet, Random(seed + 2)),
        changes=Changes(reactor, fleet, Random(seed + 3)),
        limits=LimitsWatch(reactor, fleet),
    )


def _do_nothing() -> None:
    """Do nothing when a pause ends."""


def main(
    seconds: Annotated[float, typer.Option(help='Seconds under faults.')] = 40,
    seed: Annotated[int, typer.Option(help='Seed of load and faults.')] = 1,
    workers: Annotated[int, typer.Option(help='Number of workers.')] = 6,
    diskless: Annotated[
        int, typer.Option(help='Entry instances without a disk, as seeds.')
    ] = 0,
    memory: Annotated[
        int, typer.Option(help='MB of memory of each program.')
    ] = MEMORY_MB,
    disk: Annotated[int, typer.Option(help='MB of each disk.')] = DISK_MB,
    folder: Annotated[
        Path, typer.Option(help='Folder of settings, data, logs and journal.')
    ] = DEFAULT_FOLDER,
) -> None:
    """Run load and seeded series of faults, then check the promises."""
    own_folder = (folder / f'seed-{seed}').resolve()
    if own_folder.exists():
        typer.echo(f'{own_folder} exists; each run needs a new folder')
        raise typer.Exit(2)
    own_folder.mkdir(parents=True)
    use_boot_clock(default_reactor)
    reports: list[Report] = []

    def run(reactor: Any) -> Any:
        size = FleetSize(
            diskless=diskless,
            workers=workers,
            memory_mb=memory,
            disk_mb=disk,
        )
        soak = create_soak(own_folder, seed, size, reactor)
        done = soak.run(seconds)
        done.addCallback(reports.append)
        done.addBoth(lambda outcome: _end_programs(soak, outcome))
        return done

    try:
        react(run)
    except SystemExit as stopped:
        if not reports:
            raise typer.Exit(1) from stopped
    report = reports[0]
    print(json.dumps(dict(sorted(report.counts_by_name.items())), indent=1))
    print('\n'.join(report.violations))
    sys.exit(1 if report.violations else 0)


def _end_programs(soak: Soak, outcome: Any) -> Any:
    soak.fleet.kill()
    return outcome


if __name__ == '__main__':
    typer.run(main)
