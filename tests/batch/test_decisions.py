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
from wasabiturn.batch import BatchBook, apply_batch_change
from wasabiturn.batch.fleet import Fleet, Worker
from wasabiturn.batch.interference import Interference
from wasabiturn.batch.ordering import Moment, order_parts
from wasabiturn.batch.planning import plan_starts
from wasabiturn.batch.sharing import (
    adjust_pace,
    list_paces,
    mark_standstills,
)
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
    book: BatchBook,
    fleet: Fleet,
    moment: Moment = NOW,
    known: Interference | None = None,
) -> dict[str, str]:
    """Return the worker of each task that starts."""
    worker_by_task: dict[str, str] = {}

    def charge(task: object) -> None:
        worker = fleet.worker_of(task)  # type: ignore[arg-type]
        assert worker is not None
        worker.charge(task, moment.now)  # type: ignore[arg-type]

    book.on_start = charge
    known = known or Interference()
    for begun in plan_starts(book, fleet, known, moment):
        apply_batch_change(book, BatchChange(starts=[begun]))
        worker_by_task[begun.task] = begun.worker
    return worker_by_task


def add_lasting(worker: Worker, figure: float) -> None:
    book = create_book(accept('s', LASTING))
    put(worker, book.tasks_by_name['s.0.0.0'], figure)


def test_what_can_be_in_time_goes_before_what_cannot() -> None:
    late_ms = ACCEPTED_MS - 2000
    book = create_book(
        accept('late', step(1), accepted_ms=late_ms),
        accept('timely', step(1)),
        accept('lasting', LASTING),
    )
    names = [part.job.job_id for part in order_parts(book, NOW)]
    assert names == ['lasting', 'timely', 'late']


def test_a_job_that_has_begun_goes_before_a_new_one() -> None:
    book = create_book(
        accept('new', step(2), accepted_ms=ACCEPTED_MS - 100),
        accept('begun', step(2)),
        start('begun.0.0.0'),
    )
    names = [part.job.job_id for part in order_parts(book, NOW)]
    assert names == ['begun', 'new']


def test_no_worker_is_filled_over_its_room() -> None:
    book = create_book(accept('j', step(30)))
    placed = plan(book, create_fleet(create_worker('a'), create_worker('b')))
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
    book = create_book(BatchChange(marks=[mark]), accept('j', step(1)))
    assert not plan(book, create_fleet(create_worker('a', **fields)))


def test_a_required_label_and_a_limit_for_each_worker_are_kept() -> None:
    wanted = step(6, required_label='special', max_per_worker=2)
    book = create_book(accept('j', wanted))
    workers = [
        create_worker('a'),
        create_worker('b', labels=['special']),
        create_worker('c', labels=['special']),
    ]
    placed = plan(book, create_fleet(*workers))
    assert sorted(placed.values()) == ['b', 'b', 'c', 'c']


def test_a_gang_starts_whole_or_not_at_all() -> None:
    book = create_book(accept('j', step(11, gang=True)))
    assert not plan(book, create_fleet(create_worker('a')))
    fleet = create_fleet(create_worker('a'), create_worker('b'))
    assert len(plan(book, fleet)) == 11


def test_filling_tasks_keep_away_from_lasting_ones() -> None:
    lasting, free = create_worker('a'), create_worker('b')
    add_lasting(lasting, figure=40)
    book = create_book(accept('j', FILLING), accept('k', FILLING))
    placed = plan(book, create_fleet(lasting, free))
    assert set(placed.values()) == {'b'}


def test_a_filling_task_goes_where_its_image_presses_least() -> None:
    pressed, calm = create_worker('a'), create_worker('b')
    add_lasting(pressed, figure=40)
    add_lasting(calm, figure=40)
    other = calm.charges_by_task['s.0.0.0'].task
    other.part.step = step(
        1,
        lasting=True,
        image='t',
        millicores=4000,
        tail_goal_ms=100,
    )
    known = Interference(pressure_by_pair={('s', 'f'): 2, ('t', 'f'): 0})
    book = create_book(accept('j', FILLING))
    placed = plan(book, create_fleet(pressed, calm), known=known)
    assert placed == {'j.0.0.0': 'b'}


def test_an_idle_job_starts_something_after_a_second() -> None:
    worker = create_worker('a')
    add_lasting(worker, figure=95)
    known = Interference(pressure_by_pair={('s', 'f'): 5})
    book = create_book(accept('j', step(2, fills=True, image='f')))
    fleet = create_fleet(worker)
    assert not plan(book, fleet, known=known)
    later = Moment(now=1.1, wall_ms=ACCEPTED_MS + 1100)
    assert len(plan(book, fleet, later, known)) == 1


def test_pressure_is_learnt_from_figures() -> None:
    known = Interference()
    worker = create_worker('a')
    add_lasting(worker, figure=40)
    known.learn(worker)
    book = create_book(accept('j', FILLING))
    put(worker, book.tasks_by_name['j.0.0.0'], figure=3000)
    worker.charges_by_task['s.0.0.0'].row.figure = 190  # type: ignore[union-attr]
    before = known.pressure('s', 'f')
    for _ in range(20):
        known.learn(worker)
    # The tail is 1.9 of its goal, 0.4 of them alone, at 3 tenths of use.
    assert known.pressure('s', 'f') > before
    assert known.pressure('s', 'f') == pytest.approx(0.5, abs=0.05)


def test_only_the_image_that_presses_is_slowed() -> None:
    worker = create_worker('a')
    add_lasting(worker, figure=90)
    book = create_book(
        accept('j', FILLING),
        accept('k', step(1, fills=True, image='mild', millicores=3000)),
    )
    put(worker, book.tasks_by_name['j.0.0.0'], figure=3000)
    put(worker, book.tasks_by_name['k.0.0.0'], figure=3000)
    known = Interference(
        pressure_by_pair={('s', 'f'): 0.5, ('s', 'mild'): 0.01},
    )
    adjust_pace(worker, known, now=0)
    assert [each.task.name for each in list_paces(worker, now=0)] == ['j.0.0.0']
    assert worker.percent_by_image == {'f': 50}


def test_speed_comes_back_once_the_tails_are_quiet() -> None:
    worker = create_worker('a')
    add_lasting(worker, figure=30)
    worker.percent_by_image['f'] = 50
    known = Interference()
    for _ in range(4):
        adjust_pace(worker, known, now=0)
    assert not worker.percent_by_image


def test_a_run_that_stands_still_moves_if_its_work_is_saved() -> None:
    worker = create_worker('a')
    book = create_book(
        accept('j', FILLING),
        accept('k', step(1, fills=True, image='f')),
    )
    put(worker, book.tasks_by_name['j.0.0.0'])
    put(worker, book.tasks_by_name['k.0.0.0'])
    worker.halted_at_by_image['f'] = 0
    mark_standstills(worker, now=0.5)
    assert not any(c.is_to_stop for c in worker.charges_by_task.values())
    mark_standstills(worker, now=1.1)
    marked = [
        name for name, c in worker.charges_by_task.items() if c.is_to_stop
    ]
    assert marked == ['j.0.0.0']


def test_the_pace_of_a_run_that_was_slowed_is_ordered_again() -> None:
    worker = create_worker('a')
    book = create_book(accept('j', FILLING))
    put(worker, book.tasks_by_name['j.0.0.0'])
    charge = worker.charges_by_task['j.0.0.0']
    assert not list_paces(worker, now=10)
    charge.paced_at = 0
    assert not list_paces(worker, now=1)
    assert list_paces(worker, now=2) == [charge]
