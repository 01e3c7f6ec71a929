"""Simulate workers for the placement benchmark, on a virtual clock.

The simulation replaces the platform: it starts, throttles, checkpoints and
stops tasks as the planner decides. Tasks slow each other down by coefficients
that the planner does not know, and usage is reported late.
"""

import heapq
from collections import deque
from random import Random
from typing import Any, final

import attrs

from wasabiturn.messages.kinds import AttemptState, Kind, TaskState
from wasabiturn.messages.session import (
    AttemptReport,
    Heartbeat,
    ServiceReport,
    UsageReport,
)
from wasabiturn.messages.state import (
    Capacity,
    DataCentreSpec,
    JobSpec,
    Resource,
    ServiceSpec,
    TaskSpec,
)
from wasabiturn.version.placement.heartbeats import (
    evaluate_reports,
    register_worker,
)
from wasabiturn.version.placement.learning import learn_from_heartbeat
from wasabiturn.version.placement.planner import plan
from wasabiturn.version.placement.table import (
    PlacementTable,
    create_table,
    put_resource,
)

STEP_SECONDS = 1.0
STOP_SECONDS = 2.0
REPORT_SECONDS = 5.0
USAGE_LAG_SECONDS = 10.0
SERVICE_P99_MS = 40.0
TARGET_P99_MS = 60.0
SERVICE = 'web'


@final
@attrs.define(eq=False)
class FakeRun:
    """One attempt that runs on a simulated worker."""

    task: str
    attempt: int
    kind: str
    work_seconds: float
    done_seconds: float
    rate: float = 1.0
    throttle: float = 1.0
    stops_at: float = float('inf')
    is_service: bool = False


@final
@attrs.define
class Measures:
    """Results of one simulated session."""

    slowdowns: list[float] = attrs.field(factory=list)
    urgent_delays: list[float] = attrs.field(factory=list)
    large_delays: list[float] = attrs.field(factory=list)
    delays: list[float] = attrs.field(factory=list)
    finished_work: float = 0.0
    work_while_out: float = 0.0
    finished: int = 0
    evictions: int = 0
    plan_seconds: list[float] = attrs.field(factory=list)
    starts: int = 0


@final
class FakeCluster:
    """Simulated workers, with the true run times and interference of tasks."""

    def __init__(
        self,
        workers: dict[str, str],
        capacity: Capacity,
        slowdown_by_kinds: dict[tuple[str, str], float],
        random: Random,
    ) -> None:
        """Create idle workers; ``workers`` maps each name to a data centre."""
        self.now = 100.0
        self.table: PlacementTable = create_table(0, {})
        self.measures = Measures()
        self.out: set[str] = set()
        self._workers = workers
        self._capacity = capacity
        self._slowdown_by_kinds = slowdown_by_kinds
        self._random = random
        self._runs: dict[str, dict[str, FakeRun]] = {w: {} for w in workers}
        self._work_seconds_by_task: dict[str, float] = {}
        self._created: dict[str, tuple[float, str]] = {}
        self._checkpoints: dict[str, float] = {}
        self._usage: deque[tuple[float, str, UsageReport]] = deque()
        self._ends: list[tuple[float, str, str, int]] = []
        self._reported: dict[str, TaskSpec] = {}
        self._revision = 0
        self._load_at = 0.0
        self.size_ratios: dict[str, float] = {}

    def put_service(self, replicas: int, size: Capacity) -> None:
        """Declare the service and start its replicas."""
        spec = ServiceSpec(
            replicas=replicas,
            size=size,
            target_p99_ms=TARGET_P99_MS,
            task_kind=SERVICE,
        )
        self._put(Kind.service, SERVICE, service_spec=spec)
        self._report()
        for number, worker in enumerate(list(self._workers)[:replicas]):
            self._put_task(SERVICE, number, Kind.service, spec)
            task = f'{SERVICE}.{number}'
            running = attrs.evolve(
                self.table.specs_by_task[task],
                state=TaskState.assigned,
                attempt=1,
                worker=worker,
                incarnation='1',
            )
            self._start(task, running)

    def put_job(
        self,
        name: str,
        spec: JobSpec,
        work_seconds: float,
        label: str,
        team: str = 'default',
    ) -> None:
        """Declare a job whose tasks really run for ``work_seconds`` each."""
        self._put(Kind.job, name, job_spec=spec, team=team)
        for number in range(spec.tasks):
            task = f'{name}.{number}'
            self._work_seconds_by_task[task] = work_seconds
            self._created[task] = (self.now, label)
            self._put_task(name, number, Kind.job, spec)

    def set_out(self, data_centre: str, is_out: bool) -> None:
        """Take a data centre out or bring it back."""
        spec = DataCentreSpec(out=is_out)
        self._put(Kind.data_centre, data_centre, data_centre_spec=spec)
        self.out = set(self.table.out_data_centres)

    def load(self, worker: str) -> float:
        """Return the service load of a worker, by time and data centre."""
        centres = sorted(set(self._workers.values()))
        phase = centres.index(self._workers[worker])
        shifted = int(self.now / 300) + phase
        return 0.9 if shifted % 2 else 0.3

    def step(self, clock: Any) -> None:
        """Advance the clock one step: run, report, plan and apply."""
        self.now += STEP_SECONDS
        for name, runs in self._runs.items():
            if int(self.now) % 300 == 0:
                self._set_rates(name)
            self._run(name, runs)
        self._report()
        self._plan(clock)

    def _put(self, kind: Kind, name: str, **fields: Any) -> None:
        self._revision += 1
        values = {'team': 'default', 'created': self._revision, **fields}
        put_resource(self.table, Resource(kind=kind, name=name, **values))

    def _put_task(
        self,
        owner: str,
        number: int,
        kind: Kind,
        declared: JobSpec | ServiceSpec,
    ) -> None:
        spec = TaskSpec(
            owner_kind=kind,
            owner=owner,
            number=number,
            size=declared.size,
            task_kind=declared.task_kind,
            idempotent=True,
            urgent=getattr(declared, 'urgent', False),
        )
        self.table.put_task(f'{owner}.{number}', spec)

    def _run(self, worker: str, runs: dict[str, FakeRun]) -> None:
        for run in list(runs.values()):
            run.done_seconds += run.rate * STEP_SECONDS
            if run.is_service:
                self.measures.slowdowns.append(run.throttle / run.rate)
            elif self.out:
                cores = self.table.declared_size(
                    self.table.specs_by_task[run.task],
                ).cores
                self.measures.work_while_out += run.rate * cores
            if run.done_seconds >= run.work_seconds:
                self._end(worker, run, AttemptState.finished)
            elif self.now >= run.stops_at:
                self._end(worker, run, AttemptState.stopped)

    def _end(self, worker: str, run: FakeRun, state: AttemptState) -> None:
        self._runs[worker].pop(run.task)
        self._set_rates(worker)
        spec = self.table.specs_by_task[run.task]
        report = AttemptReport(
            task=run.task,
            attempt=run.attempt,
            state=state,
            checkpoint=f'{run.done_seconds:.1f}',
            run_seconds=run.done_seconds,
        )
        if state is AttemptState.finished:
            self.measures.finished += 1
            cores = self.table.declared_size(spec).cores
            self.measures.finished_work += run.work_seconds * cores
        self._evaluate_report(worker, report)

    def _evaluate_report(self, worker: str, report: AttemptReport) -> None:
        known = self.table.workers_by_name[worker]
        changed = evaluate_reports(self.table, known, [report], self.now)
        self._reported.update(changed)

    def _report(self) -> None:
        is_report_due = int(self.now) % int(REPORT_SECONDS) == 0
        due: dict[str, list[UsageReport]] = {}
        while self._usage and self._usage[0][0] <= self.now:
            _, name, usage = self._usage.popleft()
            due.setdefault(name, []).append(usage)
        for name, data_centre in self._workers.items():
            heartbeat = Heartbeat(
                agent=name,
                incarnation='1',
                sequence=int(self.now),
                data_centre=data_centre,
                rack=f'{data_centre}-{int(name[1:]) // 12}',
                capacity=self._capacity,
                usage=due.get(name, []),
                services=self._service_reports(name) if is_report_due else [],
                reconciled=True,
            )
            worker = register_worker(self.table, heartbeat, self.now).ok
            learn_from_heartbeat(self.table, worker, heartbeat, self.now)
            if is_report_due:
                self._sample_usage(name)

    def _service_reports(self, name: str) -> list[ServiceReport]:
        slowdowns = [
            run.throttle / run.rate
            for run in self._runs[name].values()
            if run.is_service
        ]
        if not slowdowns:
            return []
        worst = max(slowdowns) * self._random.uniform(0.95, 1.05)
        return [
            ServiceReport(
                service_name=SERVICE,
                p99_ms=SERVICE_P99_MS * worst,
                load=self.load(name),
                answered=100,
            ),
        ]

    def _sample_usage(self, name: str) -> None:
        for run in self._runs[name].values():
            spec = self.table.specs_by_task[run.task]
            noise = self._random.uniform(0.95, 1.05)
            usage = UsageReport(
                task=run.task,
                used=_actual_usage(self.table, spec, self.size_ratios),
                lag_seconds=USAGE_LAG_SECONDS,
                progress=min(run.rate * noise, 1),
            )
            self._usage.append((self.now + USAGE_LAG_SECONDS, name, usage))
            progress = AttemptReport(
                task=run.task,
                attempt=run.attempt,
                state=AttemptState.running,
                run_seconds=run.done_seconds,
            )
            self._evaluate_report(name, progress)

    def _plan(self, clock: Any) -> None:
        began = clock()
        planned = plan(self.table, self._reported, self.now)
        self.measures.plan_seconds.append(clock() - began)
        for task, transition in planned.transitions_by_task.items():
            following = transition.task_spec
            self.table.put_task(task, following)
            if following.state is TaskState.assigned:
                self._start(task, following)
            elif following.state is TaskState.evicting:
                self._stop(task, following)
        self._throttle()

    def _start(self, task: str, spec: TaskSpec) -> None:
        is_service = spec.owner_kind is Kind.service
        run = FakeRun(
            task=task,
            attempt=spec.attempt,
            kind=spec.task_kind,
            work_seconds=self._work_seconds_by_task.get(task, float('inf')),
            done_seconds=float(spec.checkpoint or 0),
            is_service=is_service,
        )
        self._runs[spec.worker][task] = run
        self._set_rates(spec.worker)
        self.measures.starts += 1
        self.table.put_task(task, attrs.evolve(spec, state=TaskState.running))
        self._record_start_delay(task)

    def _record_start_delay(self, task: str) -> None:
        created, label = self._created.pop(task, (self.now, 'again'))
        delay = self.now - created
        if label == 'urgent':
            self.measures.urgent_delays.append(delay)
        elif label == 'large':
            self.measures.large_delays.append(delay)
        elif label != 'again':
            self.measures.delays.append(delay)

    def _stop(self, task: str, spec: TaskSpec) -> None:
        run = self._runs[spec.worker].get(task)
        if run is not None:
            run.stops_at = self.now + STOP_SECONDS
            self.measures.evictions += 1

    def _throttle(self) -> None:
        throttles = self.table.learned.throttles_by_task
        for name in self.table.workers_to_notify:
            for run in self._runs[name].values():
                run.throttle = throttles.get(run.task, 1)
            self._set_rates(name)
        self.table.workers_to_notify.clear()

    def _set_rates(self, worker: str) -> None:
        service_load = self.load(worker)
        runs = list(self._runs[worker].values())
        weights: dict[str, float] = {}
        for run in runs:
            load = service_load if run.is_service else run.throttle
            weights[run.kind] = weights.get(run.kind, 0) + load
        for run in runs:
            own = service_load if run.is_service else run.throttle
            slowdown = sum(
                self._slowdown_by_kinds.get((run.kind, kind), 0)
                * (weight - own * (kind == run.kind))
                for kind, weight in weights.items()
            )
            run.rate = run.throttle / (1 + slowdown)


def _actual_usage(
    table: PlacementTable,
    spec: TaskSpec,
    ratios_by_kind: dict[str, float],
) -> Capacity:
    declared = table.declared_size(spec)
    ratio = ratios_by_kind.get(spec.task_kind, 1)
    memory_mb = round(declared.memory_mb * ratio)
    return Capacity(declared.cores * ratio, memory_mb, 0)


def percentile(samples: list[float], share: float) -> float:
    """Return the value below which ``share`` of the samples lie."""
    if not samples:
        return 0
    return heapq.nsmallest(int(len(samples) * share) + 1, samples)[-1]
