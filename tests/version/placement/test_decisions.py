"""Decisions of one step on a small table."""

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


class Setting:
    """Table of one leader, whose plans are committed at once."""

    def __init__(self, *workers: str) -> None:
        self.now = 10.0
        self.table: PlacementTable = create_table(0, {})
        self.workers = workers
        self.revision = 0
        self.beat()

    def beat(self, **fields: Any) -> None:
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

    def put(self, name: str, size: Capacity, **fields: Any) -> None:
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
        self.beat(**fields)
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


def test_short_work_is_backfilled_behind_a_reservation() -> None:
    setting = Setting('w1')
    setting.put('present', Capacity(6, 1000, 0), run_seconds=100.0)
    setting.plan()
    setting.put('large', CAPACITY)
    setting.put('long', SMALL, run_seconds=500.0)
    setting.put('short', SMALL, run_seconds=50.0)
    setting.plan(1)
    assert setting.state('large') is TaskState.waiting
    assert setting.state('long') is TaskState.waiting
    assert setting.state('short') is TaskState.assigned


def test_observed_overload_evicts_one_at_a_time() -> None:
    setting = Setting('w1')
    for name in ('one', 'two', 'three', 'four'):
        setting.put(name, SMALL)
    setting.plan()
    setting.run_all()
    used = Capacity(4, 1000, 0)
    reports = [UsageReport(task='one.0', used=used, progress=1.0)]
    planned = setting.plan(5, usage=reports)
    assert list(planned.transitions_by_task) == ['four.0']
    assert setting.state('four') is TaskState.evicting
    assert setting.plan(1).is_empty()


def test_suffering_service_throttles_first_then_evicts() -> None:
    setting = Setting('w1')
    setting.put_service('web')
    setting.put('noisy', SMALL)
    setting.plan()
    setting.run_all()
    usage = [UsageReport(task='web.0', used=SMALL, progress=0.5)]
    slow = ServiceReport(
        service_name='web',
        p99_ms=100,
        load=1.0,
        answered=9,
    )
    setting.plan(1, usage=usage, services=[slow])
    throttles = setting.table.learned.throttles_by_task
    setting.plan(16, usage=usage, services=[slow])
    assert throttles['noisy.0'] == setting.table.settings.throttle_floor
    assert setting.state('noisy') is TaskState.running
    setting.plan(16, services=[slow])
    assert setting.state('noisy') is TaskState.evicting


def test_calm_speeds_up_what_was_throttled() -> None:
    setting = Setting('w1')
    setting.put_service('web')
    setting.put('noisy', SMALL)
    setting.plan()
    setting.run_all()
    throttles = setting.table.learned.throttles_by_task
    throttles['noisy.0'] = 0.5
    calm = ServiceReport(service_name='web', p99_ms=5, load=0.1, answered=9)
    setting.plan(1, services=[calm])
    assert throttles['noisy.0'] == 0.5
    setting.plan(11, services=[calm])
    assert throttles['noisy.0'] == 1


def test_harmful_work_is_held_back_beside_a_full_service() -> None:
    setting = Setting('w1')
    setting.put_service('web')
    setting.put('noisy', SMALL)
    setting.plan()
    setting.run_all()
    usage = [UsageReport(task='web.0', used=SMALL, progress=0.6)]
    near = ServiceReport(service_name='web', p99_ms=48, load=1.0, answered=9)
    setting.plan(1, usage=usage, services=[near])
    setting.put('more', SMALL, task_kind='noisy')
    setting.put('rush', SMALL, task_kind='noisy', urgent=True)
    setting.plan(1, services=[near])
    assert setting.state('more') is TaskState.waiting
    assert setting.state('rush') is TaskState.assigned


def test_idle_service_holds_nothing_back() -> None:
    setting = Setting('w1')
    setting.put_service('web')
    setting.put('noisy', SMALL)
    setting.plan()
    setting.run_all()
    usage = [UsageReport(task='web.0', used=SMALL, progress=0.6)]
    slow = ServiceReport(service_name='web', p99_ms=900, load=1.0, answered=9)
    setting.plan(1, usage=usage, services=[slow])
    setting.put('more', SMALL, task_kind='noisy')
    setting.plan(1, services=[slow])
    assert setting.state('more') is TaskState.waiting
    idle = ServiceReport(service_name='web', p99_ms=900, load=0, answered=0)
    setting.plan(1, services=[idle])
    assert setting.state('more') is TaskState.assigned


def test_report_from_before_a_cancellation_revives_nothing() -> None:
    setting = Setting('w1')
    setting.put('noisy', SMALL)
    setting.plan()
    setting.run_all()
    table = setting.table
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
    reported = evaluate_reports(table, worker, [report], setting.now)
    assert 'noisy.0' in reported
    stopping = attrs.evolve(evicting, state=TaskState.stopping)
    table.put_task('noisy.0', stopping)
    assert plan(table, reported, setting.now).is_empty()
    again = evaluate_reports(table, worker, [report], setting.now)
    planned = plan(table, again, setting.now)
    (transition,) = planned.transitions_by_task.values()
    assert transition.task_spec.state is TaskState.cancelled
