"""Tests of whether tasks wait for a place in their rack."""

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wasabiturn.batch.fleet import UNKNOWN
from wasabiturn.batch.placing.locality.state import (
    WaitDecision,
    WaitInputs,
    WaitOutcome,
)
from wasabiturn.batch.placing.locality.wait_decision import decide_wait
from wasabiturn.batch.placing.locality.wait_inputs import limit_seconds

# Time between two plans of a quiet leader.
PLAN_SECONDS = 0.1
ROUNDING = 1e-6


def weigh(place_at: float, tasks: int = 1, **fields: Any) -> WaitInputs:
    """Return inputs with one place in the rack after ``place_at`` seconds."""
    defaults: dict[str, Any] = {
        'has_rack': True,
        'saved_seconds': 2.0,
        'limit_seconds': 2.0,
        'waited_seconds': 0.0,
        'idle_left_seconds': UNKNOWN,
    }
    return WaitInputs(
        tasks=tasks,
        places_within=lambda seconds: int(seconds >= place_at),
        **(defaults | fields),
    )


def test_a_task_waits_for_a_place_that_comes_soon() -> None:
    assert decide_wait(weigh(1.9)).tasks == 1


@pytest.mark.parametrize(
    ('inputs', 'reason'),
    [
        (weigh(2.1), WaitOutcome.not_worth),
        (weigh(0.5, waited_seconds=1.6), WaitOutcome.not_worth),
        (weigh(0.1, waited_seconds=2.0), WaitOutcome.limit),
        (weigh(0.1, has_rack=False), WaitOutcome.rack_lost),
        (weigh(1.0, idle_left_seconds=0.9), WaitOutcome.idle),
        (weigh(0.0, idle_left_seconds=0.0), WaitOutcome.idle),
    ],
)
def test_a_task_starts_elsewhere(
    inputs: WaitInputs, reason: WaitOutcome
) -> None:
    assert decide_wait(inputs) == WaitDecision(0, reason)


def test_tasks_without_a_place_in_time_do_not_wait_with_the_others() -> None:
    assert decide_wait(weigh(1.0, tasks=3)).tasks == 1


def test_an_idle_job_starts_one_task_elsewhere() -> None:
    idle = weigh(0.0, tasks=1, idle_left_seconds=0.0)
    assert decide_wait(idle).tasks == 0


def test_a_step_that_slows_as_a_whole_waits_as_a_whole() -> None:
    assert decide_wait(weigh(1.0, tasks=2, is_whole=True)).tasks == 0
    assert decide_wait(weigh(1.0, tasks=1, is_whole=True)).tasks == 1


def cost_of_policy(
    seconds: float, expected: float, place_at: float, factor: float, hope: float
) -> float:
    """Return wait and work of one task under the decision.

    A place comes at ``place_at``; the leader always expects it ``hope`` seconds
    from now, and the task to take ``expected`` seconds.
    """
    saved = (factor - 1) * expected
    waited = 0.0
    while waited < place_at:
        inputs = weigh(
            hope,
            saved_seconds=saved,
            limit_seconds=limit_seconds(saved),
            waited_seconds=waited,
        )
        if not decide_wait(inputs).tasks:
            return waited + factor * seconds
        waited += PLAN_SECONDS
    return waited + seconds


@given(
    seconds=st.floats(0.1, 10),
    error=st.floats(0.1, 10),
    place_at=st.floats(0, 100),
    factor=st.floats(1.1, 2),
    hope=st.floats(0, 20),
)
def test_wrong_estimates_cost_at_most_a_multiple_of_the_best_choice(
    seconds: float, error: float, place_at: float, factor: float, hope: float
) -> None:
    """Guards the bound that ``docs/design/locality.md`` proves."""
    cost = cost_of_policy(seconds, error * seconds, place_at, factor, hope)
    best = min(place_at + seconds, factor * seconds)
    multiple = max(factor, 1 + error * (factor - 1) / factor)
    assert cost <= multiple * best + PLAN_SECONDS * (1 + ROUNDING)
