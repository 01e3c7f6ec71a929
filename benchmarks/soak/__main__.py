"""Run a soak test: ``python -m benchmarks.soak --seconds 300 --seed 1``."""

import json
import sys
from pathlib import Path
from random import Random
from typing import Annotated, Any, final

import attrs
import typer
from twisted.internet import reactor as default_reactor
from twisted.internet.defer import DeferredList, inlineCallbacks
from twisted.internet.task import deferLater, react

from benchmarks.soak import checker
from benchmarks.soak.callers import Callers
from benchmarks.soak.faults import FaultInjector
from benchmarks.soak.fleet import SERVICE, Fleet, FleetSize, create_fleet
from benchmarks.soak.operators import Operators
from wasabiturn.utils.clock import use_boot_clock

# Time for all programs to start.
WARM_UP_SECONDS = 12.0
# Time after the last fault within which all batch tasks must end.
SETTLE_SECONDS = 60.0
CALLER_PAUSE_SECONDS = 0.05
JOB_PAUSE_SECONDS = 2.5
CONFIGURATION_PAUSE_SECONDS = 0.7
OUTAGE_PAUSE_SECONDS = 15.0
CANCEL_PAUSE_SECONDS = 7.0
JOB_KIND = 'job'
ENDED_STATES = frozenset(
    ('finished', 'cancelled', 'failed', 'outcome_unknown'),
)
DEFAULT_FOLDER = Path('data/soak')


@final
@attrs.frozen
class Plan:
    """Settings of one soak test."""

    folder: Path
    seconds: float
    seed: int
    callers: int
    fault_pause_seconds: float
    settle_seconds: float
    fleet_size: FleetSize


@final
@attrs.define(eq=False)
class Soak:
    """Soak test with its load, faults and checks."""

    plan: Plan
    reactor: Any
    fleet: Fleet
    callers: Callers
    operators: Operators
    faults: FaultInjector

    @inlineCallbacks
    def run(self) -> Any:
        """Run load and faults, settle, stop; return the report."""
        self.fleet.start()
        yield self._pause(WARM_UP_SECONDS)
        self.fleet.check_running()
        self.operators.start()
        yield self._apply_service()
        loops = self._start_load()
        self.faults.start()
        yield self._pause(self.plan.seconds)
        self.faults.stop()
        self.callers.stop()
        self.operators.stop()
        yield DeferredList(loops, consumeErrors=True)
        for name in self.fleet.data_centres():
            yield self.operators.put(
                f'/v1/data-centres/{name}',
                {'spec': {'out': False}},
            )
        yield self._pause(self.plan.settle_seconds)
        jobs = yield self.operators.get_all('/v1/tasks')
        unclean = self.fleet.stop()
        return self._check(jobs, unclean)

    def _start_load(self) -> list[Any]:
        return [
            *self.callers.start(self.plan.callers, CALLER_PAUSE_SECONDS),
            self.operators.apply_jobs(JOB_PAUSE_SECONDS),
            self.operators.cancel_jobs(CANCEL_PAUSE_SECONDS),
            self.operators.change_configuration(CONFIGURATION_PAUSE_SECONDS),
            self.operators.take_out_and_bring_back(
                self.fleet.data_centres(),
                OUTAGE_PAUSE_SECONDS,
            ),
        ]

    @inlineCallbacks
    def _apply_service(self) -> Any:
        yield self.operators.put(
            f'/v1/services/{SERVICE}',
            {
                'spec': {
                    'replicas': 2,
                    'size': {'cores': 1, 'memory_mb': 256, 'accelerators': 0},
                    'slots': 8,
                    'connections': 64,
                    'target_p99_ms': 200,
                    'task_kind': 'quote',
                },
            },
        )

    def _check(self, tasks: Any, unclean: list[str]) -> checker.Report:
        report = checker.Report()
        for name in unclean:
            report.check('planned stop is clean', holds=False, detail=name)
        backends = self.fleet.folder.glob('backend-*.records')
        checker.check_calls(
            report,
            self.callers.records_by_id.values(),
            checker.read_backend_runs(backends),
        )
        self._check_tasks(report)
        checks_ended = self.plan.settle_seconds >= SETTLE_SECONDS
        _check_task_states(report, tasks, checks_ended)
        report.counts_by_name.update(
            f'fault {record.kind.value}' for record in self.faults.records
        )
        report.counts_by_name['writes'] = len(self.operators.writes)
        return report

    def _check_tasks(self, report: checker.Report) -> None:
        runs: list[checker.TaskRun] = []
        data_centre_by_worker: dict[str, str] = {}
        for number in range(1, self.plan.fleet_size.agents + 1):
            worker = f'worker-{number}'
            data_centre = self.fleet.data_centre_of(worker)
            data_centre_by_worker[worker] = data_centre
            records = self.fleet.folder / f'{worker}.records'
            runs += checker.read_task_runs(
                worker,
                records,
                self.faults.kill_times(worker),
            )
        checker.check_tasks(report, runs)
        checker.check_outages(
            report,
            runs,
            _pair_outages(self.operators),
            data_centre_by_worker,
        )

    def _pause(self, seconds: float) -> Any:
        return deferLater(self.reactor, seconds, _do_nothing)


def create_soak(plan: Plan, reactor: Any) -> Soak:
    """Create the soak test of ``plan`` with all its parts."""
    fleet = create_fleet(plan.folder, plan.fleet_size, reactor)
    numbers = range(1, plan.fleet_size.entries + 1)
    return Soak(
        plan=plan,
        reactor=reactor,
        fleet=fleet,
        callers=Callers(
            reactor=reactor,
            entries=[fleet.endpoint(f'entry-{number}') for number in numbers],
            service=SERVICE,
            random=Random(plan.seed),
        ),
        operators=Operators(
            reactor=reactor,
            servers=[
                fleet.endpoint(f'control-{number}-api')
                for number in range(1, plan.fleet_size.controls + 1)
            ]
            + [fleet.endpoint(f'entry-{number}-api') for number in numbers],
            random=Random(plan.seed + 1),
        ),
        faults=FaultInjector(
            reactor=reactor,
            fleet=fleet,
            random=Random(plan.seed + 2),
            pause_seconds=plan.fault_pause_seconds,
        ),
    )


def _pair_outages(operators: Operators) -> list[checker.Outage]:
    out = operators.outages[::2]
    back = operators.outages[1::2]
    return [
        checker.Outage(
            data_centre=taken.path.rpartition('/')[2],
            since=taken.answered_at,
            until=brought.answered_at,
        )
        for taken, brought in zip(out, back, strict=False)
    ]


def _check_task_states(
    report: checker.Report,
    tasks: Any,
    checks_ended: bool,
) -> None:
    if tasks is None:
        report.check('state can be read', holds=False, detail='no answer')
        return
    for task in tasks:
        spec = task['spec']
        report.counts_by_name[f'task {spec["state"]}'] += 1
        if checks_ended and spec['owner_kind'] == JOB_KIND:
            report.check(
                'batch task has ended',
                spec['state'] in ENDED_STATES,
                json.dumps(task),
            )


def _do_nothing() -> None:
    """Do nothing when a pause ends."""


def main(
    seconds: Annotated[float, typer.Option(help='Seconds under faults.')] = 120,
    seed: Annotated[int, typer.Option(help='Seed of load and faults.')] = 1,
    callers: Annotated[int, typer.Option(help='Concurrent callers.')] = 8,
    fault_pause: Annotated[
        float,
        typer.Option(help='Longest pause between two faults, in seconds.'),
    ] = 4,
    settle: Annotated[
        float,
        typer.Option(
            help='Seconds after the faults; if 60 or more, jobs must end.',
        ),
    ] = SETTLE_SECONDS,
    folder: Annotated[
        Path,
        typer.Option(help='Folder of settings, data, logs and records.'),
    ] = DEFAULT_FOLDER,
) -> None:
    """Run load and seeded random faults, then check the invariants."""
    plan = Plan(
        folder=folder / f'seed-{seed}',
        seconds=seconds,
        seed=seed,
        callers=callers,
        fault_pause_seconds=fault_pause,
        settle_seconds=settle,
        fleet_size=FleetSize(),
    )
    if plan.folder.exists():
        typer.echo(
            f'{plan.folder} exists; records of each run need a new folder'
        )
        raise typer.Exit(2)
    use_boot_clock(default_reactor)
    reports: list[checker.Report] = []

    def run(reactor: Any) -> Any:
        soak = create_soak(plan, reactor)
        done = soak.run()
        done.addCallback(reports.append)
        done.addBoth(lambda outcome: _kill_programs(soak, outcome))
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


def _kill_programs(soak: Soak, outcome: Any) -> Any:
    soak.fleet.kill()
    return outcome


if __name__ == '__main__':
    typer.run(main)
