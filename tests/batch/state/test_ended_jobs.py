"""Tests of how long the states of ended jobs are kept."""

import pytest

from tests.batch.jobs_fakes import accept, create_batch_state, step
from wasabiturn.batch import (
    BatchState,
    apply_batch_change,
    dump_batch_state,
    load_batch_state,
)
from wasabiturn.batch.state import ended_jobs
from wasabiturn.batch.state.ended_jobs import (
    STATUS_SECONDS,
    find_forgettable,
    find_refusal_ms,
)
from wasabiturn.messages.batch import BatchChange

STATUS_MS = STATUS_SECONDS * 1000


@pytest.fixture(autouse=True)
def low_bounds(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ended_jobs, 'MAX_ENDED_JOBS', 1)
    monkeypatch.setattr(ended_jobs, 'MAX_KEPT_JOBS', 3)


def end_jobs(*names: str) -> BatchState:
    """Return a state of jobs accepted by name, which end each second."""
    batch_state = create_batch_state(
        *[accept(name, step(1)) for name in sorted(names)]
    )
    for second, name in enumerate(names, 1):
        ends = BatchChange(cancels=[name], clock_ms=second * 1000)
        apply_batch_change(batch_state, ends)
    return batch_state


@pytest.mark.parametrize('is_loaded', [False, True])
def test_jobs_are_forgotten_in_the_order_of_their_ends(
    is_loaded: bool,
) -> None:
    batch_state = end_jobs('c', 'b', 'a')
    if is_loaded:
        batch_state = load_batch_state(dump_batch_state(batch_state))
    later_ms = 10 * STATUS_MS
    assert list(find_forgettable(batch_state, later_ms)) == ['c', 'b']


def test_job_is_not_forgotten_before_its_time() -> None:
    batch_state = end_jobs('c', 'b', 'a')
    assert not list(find_forgettable(batch_state, 999 + STATUS_MS))
    assert list(find_forgettable(batch_state, 1000 + STATUS_MS)) == ['c']


def test_forgotten_jobs_are_gone() -> None:
    batch_state = end_jobs('c', 'b', 'a')
    apply_batch_change(batch_state, BatchChange(forgets=['c', 'b']))
    assert list(batch_state.jobs_by_id) == ['a']
    assert list(batch_state.ended_jobs_by_id) == ['a']


def test_new_jobs_are_refused_until_the_first_may_be_forgotten() -> None:
    assert not find_refusal_ms(end_jobs('b', 'a'), 2000)
    assert find_refusal_ms(end_jobs('c', 'b', 'a'), 3000) == STATUS_MS - 2000
