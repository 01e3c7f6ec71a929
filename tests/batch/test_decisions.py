"""Tests of task order, choice of workers and pace."""

import pytest

from tests.batch.jobs_fakes import (
    ACCEPTED_MS,
    accept,
    add_run,
    create_batch_state,
    create_fleet,
    create_worker,
    start,
    step,
)
from wasabiturn.batch import BatchState, apply_batch_change
from wasabiturn.batch.fleet import Fleet, Worker
from wasabiturn.batch.placing.forecast import (
    FORECAST_LIFETIME_SECONDS,
    Forecasts,
)
from wasabiturn.batch.placing.interference import Interference, Pressure
from wasabiturn.batch.placing.loads import Load
from wasabiturn.batch.placing.sharing import adjust_pace, find_pace_updates
from wasabiturn.batch.placing.stalls import find_stalled
from wasabiturn.batch.planning import (
    REFUSED_PART_SECONDS,
    plan_moves,
    plan_starts,
)
from wasabiturn.batch.queueing.ordering import Moment, order_parts
from wasabiturn.messages.batch import BatchChange, DataCentreMark

NOW = Moment(now=0, wall_ms=ACCEPTED_MS)
FILLING = step(1, fills=True, image='f', millicores=3000, checkpoints=True)
LASTING = step(
    1,
    lasting=True,
    image='s',
    millicores=4000,
    tail_goal_ms=100,
)


def plan(
    batch_state: BatchState,
    fleet: Fleet,
    moment: Moment = NOW,
    interference: Interference | None = None,
) -> dict[str, str]:
    """Apply the planned starts; return the worker by task."""
    worker_by_task: dict[str, str] = {}

    def allocate(task: object) -> None:
        worker = fleet.worker_of(task)  # type: ignore[arg-type]
        assert worker is not None
        worker.allocate(task, moment.now)  # type: ignore[arg-type]

    batch_state.on_start = allocate
    interference = interference or Interference()
    forecasts = Forecasts(interference)
    for begun in plan_starts(batch_state, fleet, forecasts, moment):
        apply_batch_change(batch_state, BatchChange(starts=[begun]))
        worker_by_task[begun.task] = begun.worker
    return worker_by_task


def add_lasting_run(worker: Worker, figure: float) -> None:
    batch_state = create_batch_state(accept('s', LASTING))
    add_run(worker, batch_state.tasks_by_name['s.0.0.0'], figure)


def report_figures(worker: Worker) -> None:
    """Put the current figures of all runs in the worker's report."""
    worker.report.running = [
        allocation.row
        for allocation in worker.allocations_by_task.values()
        if allocation.row is not None
    ]


def test_jobs_that_can_be_in_time_precede_late_jobs() -> None:
    late_ms = ACCEPTED_MS - 2000
    batch_state = create_batch_state(
        accept('late', step(1), accepted_ms=late_ms),
        accept('timely', step(1)),
        accept('lasting', LASTING),
    )
    names = [part.job.job_id for part in order_parts(batch_state, NOW)]
    assert names == ['lasting', 'timely', 'late']


def test_running_job_precedes_a_new_job() -> None:
    batch_state = create_batch_state(
        accept('new', step(2), accepted_ms=ACCEPTED_MS - 100),
        accept('begun', step(2)),
        start('begun.0.0.0'),
    )
    names = [part.job.job_id for part in order_parts(batch_state, NOW)]
    assert names == ['begun', 'new']


def test_no_worker_exceeds_its_capacity() -> None:
    batch_state = create_batch_state(accept('j', step(30)))
    placed = plan(
        batch_state, create_fleet(create_worker('a'), create_worker('b'))
    )
    assert len(placed) == 20


@pytest.mark.parametrize(
    'fields',
    [
        {'leaving': True},
        {'data_centre': 'out'},
        {'service_name': 'other'},
        {'memory_mb': 50},
    ],
)
def test_ineligible_worker_gets_no_task(fields: dict[str, object]) -> None:
    mark = DataCentreMark(data_centre='out', out=True)
    batch_state = create_batch_state(
        BatchChange(marks=[mark]), accept('j', step(1))
    )
    assert not plan(batch_state, create_fleet(create_worker('a', **fields)))


def test_worker_without_cpu_gets_no_filling_task_and_blocks_none() -> None:
    batch_state = create_batch_state(accept('j', FILLING), accept('k', step()))
    fleet = create_fleet(create_worker('a', millicores=0), create_worker('b'))
    assert plan(batch_state, fleet) == {'j.0.0.0': 'b', 'k.0.0.0': 'b'}


def test_task_without_a_worker_does_not_block_other_services() -> None:
    other = accept('k', step(1))
    other.accepts[0].terms.service_name = 'other'
    batch_state = create_batch_state(accept('j', step(1)), other)
    full = create_worker('a', millicores=0)
    fleet = create_fleet(full, create_worker('b', service_name='other'))
    assert plan(batch_state, fleet) == {'k.0.0.0': 'b'}


def test_required_label_and_max_per_worker_are_respected() -> None:
    wanted = step(6, required_label='special', max_per_worker=2)
    batch_state = create_batch_state(accept('j', wanted))
    workers = [
        create_worker('a'),
        create_worker('b', labels=['special']),
        create_worker('c', labels=['special']),
    ]
    placed = plan(batch_state, create_fleet(*workers))
    assert sorted(placed.values()) == ['b', 'b', 'c', 'c']


def test_gang_starts_completely_or_not_at_all() -> None:
    batch_state = create_batch_state(accept('j', step(11, gang=True)))
    assert not plan(batch_state, create_fleet(create_worker('a')))
    fleet = create_fleet(create_worker('a'), create_worker('b'))
    assert len(plan(batch_state, fleet)) == 11


def test_gang_starts_on_workers_of_its_service_only() -> None:
    batch_state = create_batch_state(accept('j', step(2, gang=True)))
    other = create_worker('a', service_name='other')
    assert not plan(batch_state, create_fleet(other))
    fleet = create_fleet(other, create_worker('b'))
    assert plan(batch_state, fleet) == {'j.0.0.0': 'b', 'j.0.0.1': 'b'}


def test_filling_tasks_prefer_worker_without_lasting_tasks() -> None:
    lasting, free = create_worker('a'), create_worker('b')
    add_lasting_run(lasting, figure=40)
    batch_state = create_batch_state(accept('j', FILLING), accept('k', FILLING))
    placed = plan(batch_state, create_fleet(lasting, free))
    assert set(placed.values()) == {'b'}


def create_known_interference(**pressure_by_image: float) -> Interference:
    """Return the pressures of filling images on the lasting image ``s``."""
    return Interference(
        pressure_by_pair={
            ('s', image): Pressure(level=pressure, variance=0.4)
            for image, pressure in pressure_by_image.items()
        },
    )


def test_filling_task_goes_where_its_image_interferes_least() -> None:
    disturbed, undisturbed = create_worker('a'), create_worker('b')
    add_lasting_run(disturbed, figure=40)
    add_lasting_run(undisturbed, figure=40)
    other = undisturbed.allocations_by_task['s.0.0.0'].task
    other.part.step = step(
        1,
        lasting=True,
        image='t',
        millicores=4000,
        tail_goal_ms=100,
    )
    interference = create_known_interference(f=6)
    interference.pressure_by_pair['t', 'f'] = Pressure(level=0.1)
    batch_state = create_batch_state(accept('j', FILLING))
    placed = plan(
        batch_state,
        create_fleet(disturbed, undisturbed),
        interference=interference,
    )
    assert placed == {'j.0.0.0': 'b'}


def test_mild_image_leaves_free_worker_to_interfering_image() -> None:
    lasting, free = create_worker('a'), create_worker('b')
    add_lasting_run(lasting, figure=30)
    batch_state = create_batch_state(
        accept('j', step(1, fills=True, image='mild', millicores=3000)),
        accept('k', FILLING),
    )
    interference = create_known_interference(mild=0.1, f=6)
    placed = plan(
        batch_state, create_fleet(lasting, free), interference=interference
    )
    assert placed == {'j.0.0.0': 'a', 'k.0.0.0': 'b'}


def test_unplaceable_image_does_not_block_other_images() -> None:
    worker = create_worker('a')
    add_lasting_run(worker, figure=40)
    batch_state = create_batch_state(
        accept('j', step(2, fills=True, image='f', millicores=3000)),
        accept('k', step(4, fills=True, image='mild', millicores=3000)),
    )
    placed = plan(
        batch_state,
        create_fleet(worker),
        interference=create_known_interference(f=9, mild=0),
    )
    assert 'k.0.0.0' in placed
    assert 'j.0.0.0' not in placed


def test_a_filling_step_without_room_is_tried_again_after_a_moment() -> None:
    worker = create_worker('a', memory_mb=100)
    fleet = create_fleet(worker)
    batch_state = create_batch_state(accept('j', FILLING), accept('k', FILLING))
    assert plan(batch_state, fleet) == {'j.0.0.0': 'a'}
    worker.release(batch_state.tasks_by_name['j.0.0.0'])
    soon = Moment(now=REFUSED_PART_SECONDS / 2, wall_ms=ACCEPTED_MS)
    assert not plan(batch_state, fleet, soon)
    later = Moment(now=REFUSED_PART_SECONDS, wall_ms=ACCEPTED_MS)
    assert plan(batch_state, fleet, later) == {'k.0.0.0': 'a'}


def test_forecast_follows_the_tasks_and_samples_of_its_worker() -> None:
    worker = create_worker('a')
    forecasts = Forecasts(Interference())
    assert forecasts.find(worker, 0).has_no_lasting_jobs
    add_lasting_run(worker, figure=50)
    assert not forecasts.find(worker, 0).has_no_lasting_jobs
    kept = forecasts.find(worker, 0.1)
    assert forecasts.find(worker, 0.1) is kept
    worker.sampled_at = 0.1
    assert forecasts.find(worker, 0.1) is not kept
    newest = forecasts.find(worker, 0.1)
    assert forecasts.find(worker, 0.1 + FORECAST_LIFETIME_SECONDS) is not newest


def test_forecast_follows_the_capacity_of_its_worker() -> None:
    worker = create_worker('a')
    add_lasting_run(worker, figure=50)
    batch_state = create_batch_state(accept('j', FILLING))
    add_run(worker, batch_state.tasks_by_name['j.0.0.0'])
    forecasts = Forecasts(create_known_interference(f=1))
    (job,) = forecasts.find(worker, 0).jobs
    worker.report.millicores //= 2
    (job_after_shrinking,) = forecasts.find(worker, 0).jobs
    assert job_after_shrinking.load_rise > job.load_rise


def test_idle_job_starts_a_task_after_the_idle_limit() -> None:
    worker = create_worker('a')
    add_lasting_run(worker, figure=95)
    interference = create_known_interference(f=9)
    batch_state = create_batch_state(
        accept('j', step(2, fills=True, image='f'))
    )
    fleet = create_fleet(worker)
    assert not plan(batch_state, fleet, interference=interference)
    later = Moment(now=2.1, wall_ms=ACCEPTED_MS + 2100)
    assert len(plan(batch_state, fleet, later, interference)) == 1


def test_pressure_is_learned_from_figures() -> None:
    interference = Interference()
    worker = create_worker('a')
    add_lasting_run(worker, figure=33)
    row = worker.allocations_by_task['s.0.0.0'].row
    assert row is not None
    for sample in range(8):
        interference.learn(worker, now=sample / 2)
    batch_state = create_batch_state(accept('j', FILLING))
    add_run(worker, batch_state.tasks_by_name['j.0.0.0'], figure=2000)
    # Use of one fifth of the worker raises the load from 0.5 to 0.8.
    row.figure = 83
    for sample in range(8, 24):
        interference.learn(worker, now=sample / 2)
    assert interference.pressure('s', 'f', now=12) == pytest.approx(3, rel=0.25)


def test_single_low_figure_does_not_inflate_later_loads() -> None:
    interference = Interference()
    worker = create_worker('a')
    add_lasting_run(worker, figure=1)
    row = worker.allocations_by_task['s.0.0.0'].row
    assert row is not None
    interference.learn(worker, now=0)
    row.figure = 33
    for sample in range(1, 8):
        interference.learn(worker, now=sample / 2)
    assert interference.load('s').forecast() < 0.6


def test_draining_queue_is_not_attributed_to_slowed_image() -> None:
    interference = create_known_interference(f=1)
    worker = create_worker('a')
    add_lasting_run(worker, figure=33)
    interference.load_by_job['s'] = Load(level=0.5, slow_level=0.5, seen_at=0)
    batch_state = create_batch_state(accept('j', FILLING))
    add_run(worker, batch_state.tasks_by_name['j.0.0.0'], figure=3000)
    lasting = worker.allocations_by_task['s.0.0.0'].row
    filling = worker.allocations_by_task['j.0.0.0'].row
    assert lasting is not None
    assert filling is not None
    lasting.figure = 300
    interference.learn(worker, now=0.5)
    before = interference.pressure('s', 'f', now=0.5)
    filling.figure = 100
    interference.learn(worker, now=1)
    assert interference.pressure('s', 'f', now=1) < before + 1


def test_only_the_interfering_image_is_slowed() -> None:
    worker = create_worker('a')
    add_lasting_run(worker, figure=400)
    batch_state = create_batch_state(
        accept('j', FILLING),
        accept('k', step(1, fills=True, image='mild', millicores=3000)),
    )
    add_run(worker, batch_state.tasks_by_name['j.0.0.0'], figure=3000)
    add_run(worker, batch_state.tasks_by_name['k.0.0.0'], figure=3000)
    interference = create_known_interference(f=2, mild=0.1)
    interference.load_by_job['s'] = Load(level=0.6, slow_level=0.6, seen_at=0)
    report_figures(worker)
    adjust_pace(worker, interference, now=1)
    assert [each.task.name for each in find_pace_updates(worker, now=1)] == [
        'j.0.0.0'
    ]
    assert worker.percent_by_image['f'] <= 60
    assert worker.percent_by_image['mild'] == 100


def test_repeated_figures_change_no_pace() -> None:
    worker = create_worker('a')
    add_lasting_run(worker, figure=95)
    batch_state = create_batch_state(accept('j', FILLING))
    add_run(worker, batch_state.tasks_by_name['j.0.0.0'], figure=3000)
    interference = Interference()
    report_figures(worker)
    adjust_pace(worker, interference, now=1)
    before = dict(worker.percent_by_image)
    for repeat in range(1, 9):
        adjust_pace(worker, interference, now=1 + repeat / 4)
    assert worker.percent_by_image == before


def test_unexplained_high_tails_slow_all_images_step_by_step() -> None:
    worker = create_worker('a')
    add_lasting_run(worker, figure=120)
    batch_state = create_batch_state(accept('j', FILLING))
    add_run(worker, batch_state.tasks_by_name['j.0.0.0'], figure=3000)
    row = worker.allocations_by_task['s.0.0.0'].row
    assert row is not None
    for sample in range(6):
        row.figure = 120 + sample
        report_figures(worker)
        adjust_pace(worker, create_known_interference(f=0), now=sample / 2)
    assert worker.percent_by_image == {'f': 0}


def test_stalled_run_moves_only_if_it_checkpoints() -> None:
    worker, free = create_worker('a'), create_worker('b')
    add_lasting_run(worker, figure=50)
    batch_state = create_batch_state(
        accept('j', FILLING),
        accept('k', step(1, fills=True, image='f')),
    )
    add_run(worker, batch_state.tasks_by_name['j.0.0.0'])
    add_run(worker, batch_state.tasks_by_name['k.0.0.0'])
    worker.stalled_at_by_image['f'] = 0
    assert not find_stalled(worker, now=0.5)
    stalled = [
        allocation.task.name for allocation in find_stalled(worker, now=1.1)
    ]
    assert stalled == ['j.0.0.0']
    alone = create_fleet(worker)
    known = Forecasts(create_known_interference(f=9))
    assert not list(plan_moves(batch_state, alone, known, now=1.1))
    moves = plan_moves(
        batch_state,
        create_fleet(worker, free),
        known,
        now=1.1,
    )
    (planned,) = moves
    assert planned.allocation.task.name == 'j.0.0.0'
    assert planned.worker is free


def test_lasting_task_joins_tasks_sensitive_to_the_same_images() -> None:
    similar, dissimilar = create_worker('a'), create_worker('b')
    add_lasting_run(similar, figure=40)
    add_lasting_run(dissimilar, figure=40)
    for worker, image in ((similar, 't'), (dissimilar, 'u')):
        worker.lasting_count_by_image = {image: 1}
    interference = Interference(
        pressure_by_pair={
            ('s', 'f'): Pressure(level=5),
            ('t', 'f'): Pressure(level=4.5),
            ('u', 'f'): Pressure(level=0.2),
        },
    )
    batch_state = create_batch_state(accept('l', LASTING))
    placed = plan(
        batch_state,
        create_fleet(dissimilar, similar),
        interference=interference,
    )
    assert placed == {'l.0.0.0': 'a'}


def test_pace_of_a_slowed_run_is_ordered_again() -> None:
    worker = create_worker('a')
    batch_state = create_batch_state(accept('j', FILLING))
    add_run(worker, batch_state.tasks_by_name['j.0.0.0'])
    allocation = worker.allocations_by_task['j.0.0.0']
    assert not find_pace_updates(worker, now=10)
    allocation.pace_ordered_at = 0
    assert not find_pace_updates(worker, now=1)
    assert find_pace_updates(worker, now=2) == [allocation]
