"""Tests of when waits are weighed again."""

from tests.batch.jobs_fakes import accept, create_batch_state, step
from wasabiturn.batch.placing.locality.reviews import (
    MAX_FIRST_REVIEWS_PER_PLAN,
    MAX_REVIEWS_PER_PLAN,
    Reviews,
)
from wasabiturn.batch.placing.locality.state import Wait


def create_wait(due_at: float = 100, held: int = 1) -> Wait:
    batch_state = create_batch_state(accept('j', step()))
    part = batch_state.tasks_by_name['j.0.0.0'].part
    return Wait(part, 'r1', held=held, due_at=due_at)


def test_reviews_of_a_plan_are_limited() -> None:
    reviews = Reviews(now=1, waits=0)
    first = [reviews.is_due(None, is_rack_fresh=True) for _ in range(1000)]
    again = [
        reviews.is_due(create_wait(), is_rack_fresh=True) for _ in range(1000)
    ]
    assert sum(first) == MAX_FIRST_REVIEWS_PER_PLAN
    assert sum(again) == MAX_REVIEWS_PER_PLAN


def test_steps_without_a_place_keep_no_others_from_their_review() -> None:
    reviews = Reviews(now=1, waits=0)
    for _ in range(MAX_FIRST_REVIEWS_PER_PLAN + 1):
        assert reviews.is_due(None, is_rack_fresh=True)
        reviews.disregard(None)


def test_limits_lost_racks_and_released_tasks_are_not_put_off() -> None:
    """Guards against waits that go on because many others wait."""
    reviews = Reviews(now=1, waits=0)
    for _ in range(MAX_REVIEWS_PER_PLAN):
        reviews.is_due(create_wait(), is_rack_fresh=True)
    assert not reviews.is_due(create_wait(), is_rack_fresh=True)
    assert reviews.is_due(create_wait(due_at=1), is_rack_fresh=True)
    assert reviews.is_due(create_wait(), is_rack_fresh=False)
    assert reviews.is_due(create_wait(held=0), is_rack_fresh=True)
