"""Tests of when capacity of a rack is expected to become free."""

import pytest

from tests.batch.jobs_fakes import (
    accept,
    add_run,
    create_batch_state,
    create_worker,
    step,
)
from wasabiturn.batch.placing.durations import Durations
from wasabiturn.batch.placing.locality.rack_forecast import RackForecast
from wasabiturn.batch.placing.locality.rack_releases import (
    OVERDUE_SHARE,
    create_rack_forecast,
)
from wasabiturn.messages.batch import Step

FILLING = step(1, fills=True, image='f', estimate_ms=500)


def forecast(*steps: Step, now: float = 0, **fields: object) -> RackForecast:
    """Return the forecast of a worker with one run of each step since 0."""
    worker = create_worker('w', **fields)
    jobs = [accept(f'j{number}', each) for number, each in enumerate(steps)]
    for task in create_batch_state(*jobs).tasks_by_name.values():
        add_run(worker, task)
    return create_rack_forecast([worker], Durations(), 2.0, now)


def test_places_come_with_the_ends_of_runs() -> None:
    rack = forecast(step(1, estimate_ms=1000), step(1, estimate_ms=3000))
    assert not rack.count_places(step(), 0.9, (0, 0))
    assert rack.count_places(step(), 1.0, (0, 0)) == 1
    assert rack.count_places(step(), 3.0, (0, 0)) == 2


def test_places_of_tasks_ahead_are_not_counted() -> None:
    rack = forecast(step(1, estimate_ms=1000), step(1, estimate_ms=3000))
    assert not rack.count_places(step(), 1.0, (1000, 100))
    assert rack.first_place_at(step(), (1000, 100)) == pytest.approx(3)
    assert rack.first_place_at(step(), (2000, 200)) == float('inf')


def test_a_run_far_from_its_data_is_expected_to_take_longer() -> None:
    rack = forecast(step(1, preferred_rack='r2'))
    assert rack.first_place_at(step(), (0, 0)) == pytest.approx(2)


def test_a_run_that_is_overdue_is_not_expected_to_end_at_once() -> None:
    rack = forecast(step(1, estimate_ms=1000), now=8)
    expected = 8 + OVERDUE_SHARE * 8
    assert rack.first_place_at(step(), (0, 0)) == pytest.approx(expected)


def test_ends_of_filling_and_lasting_runs_make_no_place_for_others() -> None:
    lasting = step(1, lasting=True, image='s')
    rack = forecast(FILLING, lasting)
    assert rack.first_place_at(step(), (0, 0)) == float('inf')
    assert rack.first_place_at(FILLING, (0, 0)) == pytest.approx(0.5)


def test_memory_limits_places() -> None:
    rack = forecast(step(1, memory_mb=300), memory_mb=300)
    assert rack.count_places(step(1, millicores=100), 1.0, (0, 0)) == 3
