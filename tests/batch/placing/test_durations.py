"""Tests of what is learnt of the durations of tasks."""

import pytest

from tests.batch.jobs_fakes import accept, create_batch_state, step
from wasabiturn.batch.placing import durations as module
from wasabiturn.batch.placing.durations import Durations
from wasabiturn.batch.state.jobs import Part


def create_parts(*estimates_ms: int) -> list[Part]:
    """Return parts of different jobs of one queue."""
    batch_state = create_batch_state(
        *(
            accept(f'j{number}', step(2, estimate_ms=estimate_ms))
            for number, estimate_ms in enumerate(estimates_ms)
        )
    )
    return [
        part
        for job in batch_state.jobs_by_id.values()
        for part in job.parts_by_key.values()
    ]


def test_an_estimate_counts_until_a_run_has_ended() -> None:
    (part,) = create_parts(1500)
    assert Durations().expect(part) == pytest.approx(1.5)


def test_ends_of_the_same_step_count_most() -> None:
    part, other = create_parts(1000, 1000)
    durations = Durations()
    durations.learn(other, 9)
    durations.learn(part, 2)
    durations.learn(part, 4)
    assert durations.expect(part) == pytest.approx(3)


def test_an_estimate_is_corrected_by_the_errors_of_its_queue() -> None:
    known, part, without_estimate = create_parts(1000, 3000, 0)
    durations = Durations()
    durations.learn(known, 2)
    assert durations.expect(part) == pytest.approx(6)
    assert durations.expect(without_estimate) == pytest.approx(2)


def test_steps_that_ended_do_not_fill_the_memory(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(module, 'MAX_STEPS', 2)
    durations = Durations()
    for part in create_parts(1000, 1000, 1000):
        durations.learn(part, 1)
    assert len(durations._by_step) == 2
