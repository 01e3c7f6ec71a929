"""Tests of when a worker counts as answering, and when as unresponsive."""

from twisted.internet.task import Clock

from wasabiturn.platform.worker_client import RESPONSE_TIMEOUT_SECONDS
from wasabiturn.process.agent.runs.answer_tracker import (
    FRESH_FOR_REPEAT_SECONDS,
    FRESH_SECONDS,
    PROBE_SECONDS,
    UNRESPONSIVE_SECONDS,
    AnswerTracker,
)


def create_tracker() -> tuple[Clock, AnswerTracker]:
    clock = Clock()
    answers = AnswerTracker(clock)
    answers.record_answer()
    return clock, answers


def test_repeated_order_needs_no_newer_answer_than_its_list() -> None:
    clock, answers = create_tracker()
    assert answers.is_fresh()
    clock.advance(FRESH_SECONDS)
    assert not answers.is_fresh()
    assert answers.is_fresh(for_repeat=True)
    clock.advance(FRESH_FOR_REPEAT_SECONDS - FRESH_SECONDS)
    assert not answers.is_fresh(for_repeat=True)


def test_starts_of_one_moment_do_not_send_a_probe_each() -> None:
    """Each start sent a hold of its own, and leases lapsed behind them."""
    clock, answers = create_tracker()
    assert answers.begin_probe()
    clock.advance(PROBE_SECONDS / 2)
    assert not answers.begin_probe()
    clock.advance(PROBE_SECONDS / 2)
    assert answers.begin_probe()


def test_worker_without_a_probe_is_not_unresponsive() -> None:
    """Holds may take seconds, in which nothing is known of the worker."""
    clock, answers = create_tracker()
    clock.advance(60)
    assert not answers.is_unresponsive()


def test_repeated_probe_does_not_reset_the_time_without_an_answer() -> None:
    clock, answers = create_tracker()
    answers.begin_probe()
    assert not answers.is_unresponsive()
    clock.advance(UNRESPONSIVE_SECONDS)
    assert answers.is_unresponsive()
    clock.advance(PROBE_SECONDS)
    assert answers.begin_probe()
    assert answers.is_unresponsive()
    answers.record_answer()
    assert not answers.is_unresponsive()
    assert answers.begin_probe()


def test_probe_that_failed_is_followed_by_another() -> None:
    """Starts waited for an unrelated event after a lost probe."""
    assert PROBE_SECONDS < RESPONSE_TIMEOUT_SECONDS
