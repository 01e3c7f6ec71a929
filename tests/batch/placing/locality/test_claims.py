"""Tests of who is ahead among the tasks that wait for a rack."""

from tests.batch.jobs_fakes import accept, create_batch_state, step
from wasabiturn.batch.placing.locality.claims import Claims
from wasabiturn.batch.placing.locality.state import Rank, Wait
from wasabiturn.batch.placing.locality.wait_order import order_by_gain
from wasabiturn.batch.state.jobs import Part

DECIDES: Rank = (False, -1.0, 3)
SAVES_MORE: Rank = (True, -2.0, 2)
SAVES_LESS: Rank = (True, -1.0, 1)


def create_parts(*names: str) -> list[Part]:
    batch_state = create_batch_state(*(accept(name, step()) for name in names))
    return [
        part
        for job in batch_state.jobs_by_id.values()
        for part in job.parts_by_key.values()
    ]


def create_waits() -> list[Wait]:
    parts = create_parts('a', 'b', 'c')
    ranks = (SAVES_LESS, SAVES_MORE, DECIDES)
    return [
        Wait(part, 'r1', held=1, rank=rank)
        for part, rank in zip(parts, ranks, strict=True)
    ]


def test_only_tasks_with_a_higher_gain_are_ahead() -> None:
    waits = create_waits()
    claims = Claims(waits)
    assert [claims.ahead_of(wait) for wait in waits] == [
        (2000, 200),
        (1000, 100),
        (0, 0),
    ]


def test_waits_that_began_in_this_plan_count() -> None:
    less, more, decides = create_waits()
    claims = Claims([more])
    claims.add(decides)
    assert claims.ahead_of(less) == (2000, 200)
    assert claims.ahead_of(more) == (1000, 100)


def test_waits_for_other_racks_and_ended_ones_are_not_ahead() -> None:
    less, more, decides = create_waits()
    more.rack = 'r2'
    decides.is_over = True
    assert Claims([less, more, decides]).ahead_of(less) == (0, 0)


def test_waits_for_one_rack_exchange_their_positions_only() -> None:
    """Guards against waits that overtake steps without a rack."""
    waits = create_waits()
    less, more, decides = (wait.part for wait in waits)
    (other,) = create_parts('other')
    ordered = order_by_gain(
        [less, other, more, decides], {wait.part: wait for wait in waits}
    )
    assert ordered == [decides, other, more, less]
