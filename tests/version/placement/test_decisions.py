"""Decisions of single planning steps on a small table."""

from typing import Any

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
from wasabiturn.version.placement.plan import Plan
from wasabiturn.version.placement.planner import plan
from wasabiturn.version.placement.table import (
    PlacementTable,
    create_table,
    put_resource,
)

CAPACITY = Capacity(8, 8000, 0)
SMALL = Capacity(2, 1000, 0)


class Scenario:
    """Table of a leader whose plans are committed immediately."""

    def __init__(self, *workers: str) -> None:
        self.now = 10.0
        self.table: PlacementTable = create_table(0, {})
        self.workers = workers
        self.revision = 0
        self.send_heartbeats()

    def send_heartbeats(self, **fields: Any) -> None:
        for name in self.workers:
            heartbeat = Heartbeat(
                agent=name,
                incarnation='1',
                sequence=int(self.now * 10),
                data_centre='a',
                capacity=CAPACITY,
                reconciled=True,
                **fields,
            )
            worker = register_worker(self.table, heartbeat, self.now).ok
            learn_from_heartbeat(self.table, worker, heartbeat, self.now)

    def put_job(self, name: str, size: Capacity, **fields: Any) -> None:
        values = {'run_seconds': 100.0, 'task_kind': name, **fields}
        spec = JobSpec(tasks=1, size=size, **values)
        self.put_owner(name, Kind.job, spec, job_spec=spec)

    def put_service(self, name: str) -> None:
        spec = ServiceSpec(
            replicas=1,
            size=SMALL,
            target_p99_ms=50,
            task_kind=name,
        )
        self.put_owner(name, Kind.service, spec, service_spec=spec)

    def put_owner(self, name: str, kind: Kind, spec: Any, **fields: Any):
        self.revision += 1
        owner = Resource(
            kind=kind,
            name=name,
            team='default',
            created=self.revision,
            **fields,
        )
        put_resource(self.table, owner)
        task = TaskSpec(
            owner_kind=kind,
            owner=name,
            size=spec.size,
            task_kind=spec.task_kind,
            idempotent=True,
            urgent=getattr(spec, 'urgent', False),
        )
        self.table.put_task(f'{name}.0', task)

    def plan(self, seconds: float = 0, **fields: Any) -> Plan:
        self.now += seconds
        self.send_heartbeats(**fields)
        planned = plan(self.table, {}, self.now)
        for task, transition in planned.transitions_by_task.items():
            self.table.put_task(task, transition.task_spec)
        return planned

    def run_all(self) -> None:
        for task, spec in list(self.table.specs_by_task.items()):
            if spec.state is TaskState.assigned:
                running = attrs.evolve(spec, state=TaskState.running)
                self.table.put_task(task, running)

    def state(self, name: str) -> TaskState:
        return self.table.specs_by_task[f'{name}.0'].state


def test_short_task_is_backfilled_before_reserved_task() -> None:
    scenario = Scenario('w1')
    scenario.put_job('present', Capacity(6, 1000, 0), run_seconds=100.0)
    scenario.plan()
    scenario.put_job('large', CAPACITY)
    scenario.put_job('long', SMALL, run_seconds=500.0)
    scenario.put_job('short', SMALL, run_seconds=50.0)
    scenario.plan(1)
    assert scenario.state('large') is TaskState.waiting
    assert scenario.state('long') is TaskState.waiting
    assert scenario.state('short') is TaskState.assigned


def test_observed_overload_evicts_one_task_at_a_time() -> None:
    scenario = Scenario('w1')
    for name in ('one', 'two', 'three', 'four'):
        scenario.put_job(name, SMALL)
    scenario.plan()
    scenario.run_all()
    used = Capacity(4, 1000, 0)
    reports = [UsageReport(task='one.0', used=used, progress=1.0)]
    planned = scenario.plan(5, usage=reports)
    assert list(planned.transitions_by_task) == ['four.0']
    assert scenario.state('four') is TaskState.evicting
    assert scenario.plan(1).is_empty()


def test_slow_service_throttles_tasks_before_evicting() -> None:
    scenario = Scenario('w1')
    scenario.put_service('web')
    scenario.put_job('noisy', SMALL)
    scenario.plan()
    scenario.run_all()
    usage = [UsageReport(task='web.0', used=SMALL, progress=0.5)]
    slow = ServiceReport(
        service_name='web',
        p99_ms=100,
        load=1.0,
        answered=9,
    )
    scenario.plan(1, usage=usage, services=[slow])
    throttles = scenario.table.learned.throttles_by_task
    scenario.plan(16, usage=usage, services=[slow])
    assert throttles['noisy.0'] == scenario.table.settings.throttle_floor
    assert scenario.state('noisy') is TaskState.running
    scenario.plan(16, services=[slow])
    assert scenario.state('noisy') is TaskState.evicting


def test_recovered_service_speeds_up_throttled_tasks() -> None:
    scenario = Scenario('w1')
    scenario.put_service('web')
    scenario.put_job('noisy', SMALL)
    scenario.plan()
    scenario.run_all()
    throttles = scenario.table.learned.throttles_by_task
    throttles['noisy.0'] = 0.5
    fast = ServiceReport(service_name='web', p99_ms=5, load=0.1, answered=9)
    scenario.plan(1, services=[fast])
    assert throttles['noisy.0'] == 0.5
    scenario.plan(11, services=[fast])
    assert throttles['noisy.0'] == 1


def test_interfering_task_waits_beside_service_near_target() -> None:
    scenario = Scenario('w1')
    scenario.put_service('web')
    scenario.put_job('noisy', SMALL)
    scenario.plan()
    scenario.run_all()
    usage = [UsageReport(task='web.0', used=SMALL, progress=0.6)]
    near = ServiceReport(service_name='web', p99_ms=48, load=1.0, answered=9)
    scenario.plan(1, usage=usage, services=[near])
    scenario.put_job('more', SMALL, task_kind='noisy')
    scenario.put_job('rush', SMALL, task_kind='noisy', urgent=True)
    scenario.plan(1, services=[near])
    assert scenario.state('more') is TaskState.waiting
    assert scenario.state('rush') is TaskState.assigned


def test_idle_service_does_not_block_interfering_task() -> None:
    scenario = Scenario('w1')
    scenario.put_service('web')
    scenario.put_job('noisy', SMALL)
    scenario.plan()
    scenario.run_all()
    usage = [UsageReport(task='web.0', used=SMALL, progress=0.6)]
    slow = ServiceReport(service_name='web', p99_ms=900, load=1.0, answered=9)
    scenario.plan(1, usage=usage, services=[slow])
    scenario.put_job('more', SMALL, task_kind='noisy')
    scenario.plan(1, services=[slow])
    assert scenario.state('more') is TaskState.waiting
    idle = ServiceReport(service_name='web', p99_ms=900, load=0, answered=0)
    scenario.plan(1, services=[idle])
    assert scenario.state('more') is TaskState.assigned


def test_report_from_before_cancellation_is_discarded() -> None:
    scenario = Scenario('w1')
    scenario.put_job('noisy', SMALL)
    scenario.plan()
    scenario.run_all()
    table = scenario.table
    evicting = attrs.evolve(
        table.specs_by_task['noisy.0'],
        state=TaskState.evicting,
    )
    table.put_task('noisy.0', evicting)
    report = AttemptReport(
        task='noisy.0',
        attempt=evicting.attempt,
        state=AttemptState.stopped,
    )
    worker = table.workers_by_name['w1']
    reported = evaluate_reports(table, worker, [report], scenario.now)
    assert 'noisy.0' in reported
    stopping = attrs.evolve(evicting, state=TaskState.stopping)
    table.put_task('noisy.0', stopping)
    assert plan(table, reported, scenario.now).is_empty()
    again = evaluate_reports(table, worker, [report], scenario.now)
    planned = plan(table, again, scenario.now)
    (transition,) = planned.transitions_by_task.values()
    assert transition.task_spec.state is TaskState.cancelled
