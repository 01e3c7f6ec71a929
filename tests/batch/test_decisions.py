"""Order, places and pace."""

import pytest

from tests.batch.jobs_fakes import (
    ACCEPTED_MS,
    accept,
    create_book,
    create_fleet,
    create_worker,
    put,
    start,
    step,
)
from wasabiturn.batch import BatchState, apply_batch_change
from wasabiturn.batch.fleet import Fleet, Worker
from wasabiturn.batch.interference import Interference, Pressure
from wasabiturn.batch.loads import Load
from wasabiturn.batch.ordering import Moment, order_parts
from wasabiturn.batch.planning import plan_moves, plan_starts
from wasabiturn.batch.sharing import adjust_pace, find_pace_updates
from wasabiturn.batch.stalls import find_halted
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
    known: Interference | None = None,
) -> dict[str, str]:
    """Return the worker of each task that starts."""
    worker_by_task: dict[str, str] = {}

    def allocation(task: object) -> None:
        worker = fleet.worker_of(task)  # type: ignore[arg-type]
        assert worker is not None
        worker.allocation(task, moment.now)  # type: ignore[arg-type]

    batch_state.on_start = allocation
    known = known or Interference()
    for begun in plan_starts(batch_state, fleet, known, moment):
        apply_batch_change(batch_state, BatchChange(starts=[begun]))
        worker_by_task[begun.task] = begun.worker
    return worker_by_task


def add_lasting(worker: Worker, figure: float) -> None:
    batch_state = create_book(accept('s', LASTING))
    put(worker, batch_state.tasks_by_name['s.0.0.0'], figure)


def report_figures(worker: Worker) -> None:
    """Let the worker's report list the present figures."""
    worker.report.running = [
        allocation.row
        for allocation in worker.allocations_by_task.values()
        if allocation.row is not None
    ]


def test_what_can_be_in_time_goes_before_what_cannot() -> None:
    late_ms = ACCEPTED_MS - 2000
    batch_state = create_book(
        accept('late', step(1), accepted_ms=late_ms),
        accept('timely', step(1)),
        accept('lasting', LASTING),
    )
    names = [part.job.job_id for part in order_parts(batch_state, NOW)]
    assert names == ['lasting', 'timely', 'late']


def test_a_job_that_has_begun_goes_before_a_new_one() -> None:
    batch_state = create_book(
        accept('new', step(2), accepted_ms=ACCEPTED_MS - 100),
        accept('begun', step(2)),
        start('begun.0.0.0'),
    )
    names = [part.job.job_id for part in order_parts(batch_state, NOW)]
    assert names == ['begun', 'new']


def test_no_worker_is_filled_over_its_room() -> None:
    batch_state = create_book(accept('j', step(30)))
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
def test_a_worker_that_must_not_take_a_task(fields: dict[str, object]) -> None:
    mark = DataCentreMark(data_centre='out', out=True)
    batch_state = create_book(BatchChange(marks=[mark]), accept('j', step(1)))
    assert not plan(batch_state, create_fleet(create_worker('a', **fields)))


def test_a_required_label_and_a_limit_for_each_worker_are_kept() -> None:
    wanted = step(6, required_label='special', max_per_worker=2)
    batch_state = create_book(accept('j', wanted))
    workers = [
        create_worker('a'),
        create_worker('b', labels=['special']),
        create_worker('c', labels=['special']),
    ]
    placed = plan(batch_state, create_fleet(*workers))
    assert sorted(placed.values()) == ['b', 'b', 'c', 'c']


def test_a_gang_starts_whole_or_not_at_all() -> None:
    batch_state = create_book(accept('j', step(11, gang=True)))
    assert not plan(batch_state, create_fleet(create_worker('a')))
    fleet = create_fleet(create_worker('a'), create_worker('b'))
    assert len(plan(batch_state, fleet)) == 11


def test_filling_tasks_keep_away_from_lasting_ones() -> None:
    lasting, free = create_worker('a'), create_worker('b')
    add_lasting(lasting, figure=40)
    batch_state = create_book(accept('j', FILLING), accept('k', FILLING))
    placed = plan(batch_state, create_fleet(lasting, free))
    assert set(placed.values()) == {'b'}


def know(**pressure_by_image: float) -> Interference:
    """Return what is known of filling images beside the lasting image s."""
    return Interference(
        pressure_by_pair={
            ('s', image): Pressure(level=pressure, variance=0.4)
            for image, pressure in pressure_by_image.items()
        },
    )


def test_a_filling_task_goes_where_its_image_presses_least() -> None:
    pressed, calm = create_worker('a'), create_worker('b')
    add_lasting(pressed, figure=40)
    add_lasting(calm, figure=40)
    other = calm.allocations_by_task['s.0.0.0'].task
    other.part.step = step(
        1,
        lasting=True,
        image='t',
        millicores=4000,
        tail_goal_ms=100,
    )
    known = know(f=6)
    known.pressure_by_pair['t', 'f'] = Pressure(level=0.1)
    batch_state = create_book(accept('j', FILLING))
    placed = plan(batch_state, create_fleet(pressed, calm), known=known)
    assert placed == {'j.0.0.0': 'b'}


def test_a_mild_image_leaves_a_free_worker_to_one_that_presses() -> None:
    lasting, free = create_worker('a'), create_worker('b')
    add_lasting(lasting, figure=30)
    batch_state = create_book(
        accept('j', step(1, fills=True, image='mild', millicores=3000)),
        accept('k', FILLING),
    )
    known = know(mild=0.1, f=6)
    placed = plan(batch_state, create_fleet(lasting, free), known=known)
    assert placed == {'j.0.0.0': 'a', 'k.0.0.0': 'b'}


def test_an_image_that_finds_no_place_holds_up_no_other_image() -> None:
    worker = create_worker('a')
    add_lasting(worker, figure=40)
    batch_state = create_book(
        accept('j', step(2, fills=True, image='f', millicores=3000)),
        accept('k', step(4, fills=True, image='mild', millicores=3000)),
    )
    placed = plan(batch_state, create_fleet(worker), known=know(f=9, mild=0))
    assert 'k.0.0.0' in placed
    assert 'j.0.0.0' not in placed


def test_an_idle_job_starts_something_after_a_while() -> None:
    worker = create_worker('a')
    add_lasting(worker, figure=95)
    known = know(f=9)
    batch_state = create_book(accept('j', step(2, fills=True, image='f')))
    fleet = create_fleet(worker)
    assert not plan(batch_state, fleet, known=known)
    later = Moment(now=2.1, wall_ms=ACCEPTED_MS + 2100)
    assert len(plan(batch_state, fleet, later, known)) == 1


def test_pressure_is_learnt_from_figures() -> None:
    known = Interference()
    worker = create_worker('a')
    add_lasting(worker, figure=33)
    row = worker.allocations_by_task['s.0.0.0'].row
    assert row is not None
    for sample in range(8):
        known.learn(worker, now=sample / 2)
    batch_state = create_book(accept('j', FILLING))
    put(worker, batch_state.tasks_by_name['j.0.0.0'], figure=2000)
    # A load of half the time, and one fifth of the worker: 0.5 -> 0.8.
    row.figure = 83
    for sample in range(8, 24):
        known.learn(worker, now=sample / 2)
    assert known.pressure('s', 'f', now=12) == pytest.approx(3, rel=0.25)


def test_one_low_figure_is_no_reason_to_slow_all_that_fills() -> None:
    known = Interference()
    worker = create_worker('a')
    add_lasting(worker, figure=1)
    row = worker.allocations_by_task['s.0.0.0'].row
    assert row is not None
    known.learn(worker, now=0)
    row.figure = 33
    for sample in range(1, 8):
        known.learn(worker, now=sample / 2)
    assert known.load('s').expect() < 0.6


def test_a_queue_that_drains_is_not_blamed_on_what_was_slowed() -> None:
    known = know(f=1)
    worker = create_worker('a')
    add_lasting(worker, figure=33)
    known.load_by_job['s'] = Load(level=0.5, base=0.5, seen_at=0)
    batch_state = create_book(accept('j', FILLING))
    put(worker, batch_state.tasks_by_name['j.0.0.0'], figure=3000)
    lasting = worker.allocations_by_task['s.0.0.0'].row
    filling = worker.allocations_by_task['j.0.0.0'].row
    assert lasting is not None
    assert filling is not None
    lasting.figure = 300
    known.learn(worker, now=0.5)
    before = known.pressure('s', 'f', now=0.5)
    filling.figure = 100
    known.learn(worker, now=1)
    assert known.pressure('s', 'f', now=1) < before + 1


def test_only_the_image_that_presses_is_slowed() -> None:
    worker = create_worker('a')
    add_lasting(worker, figure=400)
    batch_state = create_book(
        accept('j', FILLING),
        accept('k', step(1, fills=True, image='mild', millicores=3000)),
    )
    put(worker, batch_state.tasks_by_name['j.0.0.0'], figure=3000)
    put(worker, batch_state.tasks_by_name['k.0.0.0'], figure=3000)
    known = know(f=2, mild=0.1)
    known.load_by_job['s'] = Load(level=0.6, base=0.6, seen_at=0)
    report_figures(worker)
    adjust_pace(worker, known, now=1)
    assert [each.task.name for each in find_pace_updates(worker, now=1)] == [
        'j.0.0.0'
    ]
    assert worker.percent_by_image['f'] <= 60
    assert worker.percent_by_image['mild'] == 100


def test_figures_that_come_again_change_no_pace() -> None:
    worker = create_worker('a')
    add_lasting(worker, figure=95)
    batch_state = create_book(accept('j', FILLING))
    put(worker, batch_state.tasks_by_name['j.0.0.0'], figure=3000)
    known = Interference()
    report_figures(worker)
    adjust_pace(worker, known, now=1)
    before = dict(worker.percent_by_image)
    for repeat in range(1, 9):
        adjust_pace(worker, known, now=1 + repeat / 4)
    assert worker.percent_by_image == before


def test_hot_tails_that_nothing_explains_slow_all_step_by_step() -> None:
    worker = create_worker('a')
    add_lasting(worker, figure=120)
    batch_state = create_book(accept('j', FILLING))
    put(worker, batch_state.tasks_by_name['j.0.0.0'], figure=3000)
    row = worker.allocations_by_task['s.0.0.0'].row
    assert row is not None
    for sample in range(6):
        row.figure = 120 + sample
        report_figures(worker)
        adjust_pace(worker, know(f=0), now=sample / 2)
    assert worker.percent_by_image == {'f': 0}


def test_a_run_that_stands_still_moves_if_its_work_is_saved() -> None:
    worker, free = create_worker('a'), create_worker('b')
    add_lasting(worker, figure=50)
    batch_state = create_book(
        accept('j', FILLING),
        accept('k', step(1, fills=True, image='f')),
    )
    put(worker, batch_state.tasks_by_name['j.0.0.0'])
    put(worker, batch_state.tasks_by_name['k.0.0.0'])
    worker.stalled_at_by_image['f'] = 0
    assert not find_halted(worker, now=0.5)
    halted = [
        allocation.task.name for allocation in find_halted(worker, now=1.1)
    ]
    assert halted == ['j.0.0.0']
    alone = create_fleet(worker)
    assert not list(plan_moves(batch_state, alone, know(f=9), now=1.1))
    moves = plan_moves(
        batch_state, create_fleet(worker, free), know(f=9), now=1.1
    )
    assert [allocation.task.name for allocation in moves] == ['j.0.0.0']


def test_a_lasting_task_goes_beside_those_that_the_same_images_press() -> None:
    like, unlike = create_worker('a'), create_worker('b')
    add_lasting(like, figure=40)
    add_lasting(unlike, figure=40)
    for worker, image in ((like, 't'), (unlike, 'u')):
        worker.lasting_by_image = {image: 1}
    known = Interference(
        pressure_by_pair={
            ('s', 'f'): Pressure(level=5),
            ('t', 'f'): Pressure(level=4.5),
            ('u', 'f'): Pressure(level=0.2),
        },
    )
    batch_state = create_book(accept('l', LASTING))
    placed = plan(batch_state, create_fleet(unlike, like), known=known)
    assert placed == {'l.0.0.0': 'a'}


def test_the_pace_of_a_run_that_was_slowed_is_ordered_again() -> None:
    worker = create_worker('a')
    batch_state = create_book(accept('j', FILLING))
    put(worker, batch_state.tasks_by_name['j.0.0.0'])
    allocation = worker.allocations_by_task['j.0.0.0']
    assert not find_pace_updates(worker, now=10)
    allocation.pace_ordered_at = 0
    assert not find_pace_updates(worker, now=1)
    assert find_pace_updates(worker, now=2) == [allocation]
