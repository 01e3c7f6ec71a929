"""Tests of tasks that are bound to a worker name."""

import pytest

from tests.batch.jobs_fakes import (
    accept,
    add_run,
    create_batch_state,
    create_fleet,
    create_worker,
    start,
    step,
)
from tests.batch.test_decisions import plan
from wasabiturn.batch import (
    BatchState,
    apply_batch_change,
    dump_batch_state,
    load_batch_state,
    planning,
)
from wasabiturn.batch.fleet import NEVER, Fleet
from wasabiturn.batch.orders.bindings import (
    bind_task,
    find_resumed_runs,
    release_tasks,
    restore_bindings,
)
from wasabiturn.batch.placing.forecast import Forecasts
from wasabiturn.batch.placing.interference import Interference
from wasabiturn.batch.placing.moves import PlannedMove
from wasabiturn.batch.placing.ranking import create_ranking
from wasabiturn.batch.planning import plan_moves
from wasabiturn.batch.state.clock import StateClock
from wasabiturn.batch.state.jobs import Part
from wasabiturn.messages.batch import (
    BatchChange,
    BatchDump,
    EndRun,
    SettledStart,
    StartRun,
    Step,
    TaskRecord,
)
from wasabiturn.messages.codec import pack, unpack
from wasabiturn.messages.kinds import BatchTaskState, RunEnding
from wasabiturn.messages.limits import ORDER_LIFETIME_SECONDS

TASK = 'j.0.0.0'
LEASE_SECONDS = 6.0
FAR_FUTURE = 1e9


def end_with_open_order(task: str = TASK, run: int = 1) -> BatchChange:
    ended = EndRun(
        task=task,
        run=run,
        ending=RunEnding.not_started,
        has_open_order=True,
    )
    return BatchChange(ends=[ended])


def start_again(born_ms: int, worker: str = 'w', run: int = 1) -> BatchChange:
    begun = StartRun(task=TASK, run=run, worker=worker, born_ms=born_ms)
    return BatchChange(starts=[begun])


def create_bound_state(steps: Step, *more: BatchChange) -> BatchState:
    """Return a state with a job whose first task is bound to worker ``w``."""
    return create_batch_state(
        accept('j', steps), start(TASK), end_with_open_order(), *more
    )


def bind(fleet: Fleet, batch_state: BatchState, until: float) -> None:
    bind_task(fleet, batch_state.tasks_by_name[TASK], until, now=0)


def test_task_stays_bound_when_it_starts_at_its_name_again() -> None:
    batch_state = create_bound_state(step(1), start(TASK, run=2))
    assert batch_state.tasks_by_name[TASK].is_bound


def test_task_that_starts_at_another_name_is_not_bound() -> None:
    batch_state = create_bound_state(step(1), start(TASK, run=2, worker='v'))
    assert not batch_state.tasks_by_name[TASK].is_bound


def test_later_end_without_an_open_order_keeps_a_task_bound() -> None:
    ended = EndRun(task=TASK, run=2, ending=RunEnding.lost)
    batch_state = create_bound_state(
        step(1), start(TASK, run=2), BatchChange(ends=[ended])
    )
    assert batch_state.tasks_by_name[TASK].is_bound


def test_snapshot_keeps_bound_and_settled_tasks() -> None:
    batch_state = create_bound_state(step(2))
    apply_batch_change(batch_state, start('j.0.0.1'))
    settled = SettledStart(task='j.0.0.1', run=1)
    apply_batch_change(batch_state, BatchChange(settled=[settled]))
    packed = pack(dump_batch_state(batch_state))
    loaded = load_batch_state(unpack(BatchDump, packed))
    assert loaded.tasks_by_name[TASK].is_bound
    assert loaded.tasks_by_name['j.0.0.1'].is_settled


def test_stored_tasks_of_earlier_versions_are_not_bound() -> None:
    # Has only the first field of a record.
    packed = pack(SettledStart(task=TASK))
    record = unpack(TaskRecord, packed)
    assert record.name == TASK
    assert not record.is_bound
    assert not record.is_settled


def test_settled_start_of_an_earlier_run_is_ignored() -> None:
    batch_state = create_bound_state(step(1), start(TASK, run=2))
    settled = SettledStart(task=TASK, run=1)
    apply_batch_change(batch_state, BatchChange(settled=[settled]))
    assert not batch_state.tasks_by_name[TASK].is_settled


def test_late_run_is_resumed_at_a_newer_incarnation_of_its_name_only() -> None:
    for others in (
        start_again(born_ms=1),
        start_again(born_ms=2, worker='v'),
    ):
        batch_state = create_bound_state(step(1), others)
        task = batch_state.tasks_by_name[TASK]
        assert task.state is BatchTaskState.waiting
    batch_state = create_bound_state(step(1), start_again(born_ms=2))
    assert batch_state.tasks_by_name[TASK].state is BatchTaskState.active


def test_late_run_of_a_gang_member_is_not_resumed() -> None:
    worker = create_worker('w')
    worker.born_ms = 2
    worker.unexpected_runs_by_task = {TASK: 1}
    single = create_bound_state(step(1))
    assert [each.run for each in find_resumed_runs(worker, single)] == [1]
    gang = create_bound_state(step(2, gang=True))
    assert not list(find_resumed_runs(worker, gang))


def test_new_leader_binds_a_task_for_a_whole_lifetime() -> None:
    fleet = create_fleet()
    state_clock = StateClock(noted_at=0)
    restore_bindings(fleet, create_bound_state(step(1)), state_clock, now=3)
    assert fleet.bound_until_by_task == {TASK: 3 + ORDER_LIFETIME_SECONDS}


def test_task_is_not_bound_by_orders_that_were_answered() -> None:
    fleet = create_fleet()
    bind(fleet, create_bound_state(step(1)), until=NEVER)
    assert not fleet.bound_until_by_task


def test_task_of_a_silent_worker_is_released_after_a_lease() -> None:
    fleet = create_fleet()
    batch_state = create_bound_state(step(1))
    bind(fleet, batch_state, until=10)
    assert not release_tasks(fleet, batch_state, LEASE_SECONDS, now=15.9)
    (released,) = release_tasks(fleet, batch_state, LEASE_SECONDS, now=16)
    assert released.name == TASK
    assert not fleet.bound_until_by_task


def test_list_after_the_lifetime_releases_a_task() -> None:
    worker = create_worker('w')
    worker.agent = 'a'
    fleet = create_fleet(worker)
    batch_state = create_bound_state(step(1))
    batch_state.tasks_by_name[TASK].agent = 'a'
    fleet.record_reporting(worker)
    bind(fleet, batch_state, until=10)
    worker.heard_at = 11
    worker.unexpected_runs_by_task = {TASK: 1}
    assert not release_tasks(fleet, batch_state, LEASE_SECONDS, now=11)
    worker.unexpected_runs_by_task = {}
    assert release_tasks(fleet, batch_state, LEASE_SECONDS, now=11)


def test_task_is_released_once_nothing_listens_after_the_lifetime() -> None:
    worker = create_worker('w', refuses=True)
    worker.agent = 'a'
    worker.is_reconciled = False
    fleet = create_fleet(worker)
    batch_state = create_bound_state(step(1))
    batch_state.tasks_by_name[TASK].agent = 'a'
    fleet.record_reporting(worker)
    bind(fleet, batch_state, until=10)
    worker.heard_at = 10
    assert not release_tasks(fleet, batch_state, LEASE_SECONDS, now=11)
    worker.heard_at = 11
    assert release_tasks(fleet, batch_state, LEASE_SECONDS, now=11)


def test_task_is_released_though_its_name_moved_to_another_agent() -> None:
    worker = create_worker('w')
    worker.agent = 'b'
    fleet = create_fleet(worker)
    fleet.record_reporting(worker)
    batch_state = create_bound_state(step(1))
    batch_state.tasks_by_name[TASK].agent = 'a'
    bind(fleet, batch_state, until=10)
    worker.heard_at = 20
    worker.lease_ends_at = 26
    worker.unexpected_runs_by_task = {TASK: 1}
    assert not release_tasks(fleet, batch_state, LEASE_SECONDS, now=20)
    worker.unexpected_runs_by_task = {}
    assert release_tasks(fleet, batch_state, LEASE_SECONDS, now=20)


def test_bound_task_waits_for_its_worker_without_holding_up_others() -> None:
    fleet = create_fleet(create_worker('v'))
    batch_state = create_bound_state(
        step(3), accept('big', step(1, millicores=5000))
    )
    bind(fleet, batch_state, FAR_FUTURE)
    placed = plan(batch_state, fleet)
    assert sorted(placed) == ['big.0.0.0', 'j.0.0.1', 'j.0.0.2']


def test_bound_task_that_failed_is_not_placed() -> None:
    fleet = create_fleet(create_worker('w'))
    batch_state = create_bound_state(step(1))
    bind(fleet, batch_state, FAR_FUTURE)
    batch_state.tasks_by_name[TASK].failures = 1
    assert not plan(batch_state, fleet)
    batch_state.tasks_by_name[TASK].failures = 0
    assert plan(batch_state, fleet) == {TASK: 'w'}


def test_bound_lasting_task_is_placed_at_its_name_only() -> None:
    lasting = step(1, lasting=True, image='s', tail_goal_ms=100)
    batch_state = create_bound_state(lasting)
    fleet = create_fleet(create_worker('v'))
    bind(fleet, batch_state, FAR_FUTURE)
    assert not plan(batch_state, fleet)
    fleet.workers_by_incarnation['w', 1] = create_worker('w')
    assert plan(batch_state, fleet) == {TASK: 'w'}


def test_gang_is_placed_with_its_bound_member_at_its_name() -> None:
    batch_state = create_bound_state(step(11, gang=True))
    fleet = create_fleet(create_worker('u'), create_worker('v'))
    bind(fleet, batch_state, FAR_FUTURE)
    assert not plan(batch_state, fleet)
    fleet.workers_by_incarnation['w', 1] = create_worker('w')
    placed = plan(batch_state, fleet)
    assert len(placed) == 11
    assert placed[TASK] == 'w'


def test_gang_that_waits_for_a_name_does_not_hold_up_others() -> None:
    batch_state = create_bound_state(
        step(2, gang=True), accept('big', step(1, millicores=5000))
    )
    fleet = create_fleet(create_worker('v'))
    bind(fleet, batch_state, FAR_FUTURE)
    assert list(plan(batch_state, fleet)) == ['big.0.0.0']


def test_tasks_that_wait_for_a_name_cost_no_ranking(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    ranked: list[Part] = []
    monkeypatch.setattr(
        planning,
        'create_ranking',
        lambda part, candidates: (
            ranked.append(part) or create_ranking(part, candidates)
        ),
    )
    batch_state = create_bound_state(step(1), accept('other', step(1)))
    fleet = create_fleet(create_worker('v'))
    bind(fleet, batch_state, FAR_FUTURE)
    assert plan(batch_state, fleet) == {'other.0.0.0': 'v'}
    assert [part.job.job_id for part in ranked] == ['other']


def test_stalled_run_that_would_be_bound_is_not_moved() -> None:
    filling = step(1, fills=True, image='f', checkpoints=True)
    batch_state = create_batch_state(accept('j', filling))
    worker = create_worker('a')
    add_run(worker, batch_state.tasks_by_name[TASK])
    worker.stalled_at_by_image['f'] = 0
    free = create_worker('b')
    worker.heard_at = free.heard_at = 2
    fleet = create_fleet(worker, free)
    # Its own worker is no candidate.
    worker.report.leaving = True
    allocation = worker.allocations_by_task[TASK]
    allocation.orders_end_at = 2.4
    forecasts = Forecasts(Interference())
    assert not list(plan_moves(batch_state, fleet, forecasts, now=2.3))
    assert list(plan_moves(batch_state, fleet, forecasts, now=2.4)) == [
        PlannedMove(allocation, free)
    ]
