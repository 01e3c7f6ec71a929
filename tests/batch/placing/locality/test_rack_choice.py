"""Tests of the choice of one rack for a step."""

import pytest

from tests.batch.jobs_fakes import (
    accept,
    create_batch_state,
    create_worker,
    step,
)
from wasabiturn.batch.placing.locality.rack_choice import (
    RackTerms,
    choose_rack,
    count_free_places,
)

TERMS = RackTerms(task_seconds=1, slowdown_factor=2)


@pytest.mark.parametrize(
    ('tasks', 'places_by_rack', 'rack'),
    [
        (4, {}, ''),
        (4, {'a': 0, 'b': 0}, ''),
        (4, {'a': 4, 'b': 6}, 'b'),
        # Two turns take as long as two racks with twice the time.
        (4, {'a': 2, 'b': 2}, 'a'),
        (4, {'a': 1, 'b': 1, 'c': 1, 'd': 1}, ''),
    ],
)
def test_one_rack_is_chosen_if_the_step_ends_there_sooner(
    tasks: int, places_by_rack: dict[str, int], rack: str
) -> None:
    assert choose_rack(tasks, places_by_rack, TERMS) == rack


@pytest.mark.parametrize(
    ('fields', 'places'),
    [
        ({'millicores': 3000}, 3),
        ({'memory_mb': 5000}, 2),
        ({'accelerators': 1}, 1),
        ({'max_per_worker': 1}, 1),
        ({'fills': True, 'image': 'f', 'millicores': 4000}, 2),
        ({'required_label': 'other'}, None),
    ],
)
def test_places_are_limited_by_each_resource(
    fields: dict[str, object], places: int | None
) -> None:
    batch_state = create_batch_state(accept('j', step(9, **fields)))
    (part,) = batch_state.jobs_by_id['j'].parts_by_key.values()
    worker = create_worker('w', accelerators=1)
    assert count_free_places(part, [worker]).get('r1') == places
