"""Tests of when a worker counts as answering, and when as silent."""

from twisted.internet.task import Clock

from wasabiturn.process.agent.runs.pulse import (
    ASK_AGAIN_SECONDS,
    FRESH_FOR_REPEAT_SECONDS,
    FRESH_SECONDS,
    SILENT_SECONDS,
    Pulse,
)


def create_pulse() -> tuple[Clock, Pulse]:
    clock = Clock()
    pulse = Pulse(clock)
    pulse.record_answer()
    return clock, pulse


def test_answer_is_fresh_for_a_moment() -> None:
    clock, pulse = create_pulse()
    assert pulse.is_fresh()
    clock.advance(FRESH_SECONDS)
    assert not pulse.is_fresh()
    assert pulse.is_fresh(for_repeat=True)
    clock.advance(FRESH_FOR_REPEAT_SECONDS - FRESH_SECONDS)
    assert not pulse.is_fresh(for_repeat=True)


def test_one_question_is_under_way_at_a_time() -> None:
    """Each start asked anew, and each question had a hold of its own."""
    clock, pulse = create_pulse()
    assert pulse.ask()
    clock.advance(ASK_AGAIN_SECONDS / 2)
    assert not pulse.ask()
    clock.advance(ASK_AGAIN_SECONDS / 2)
    assert pulse.ask()


def test_worker_without_a_question_is_not_silent() -> None:
    """Holds may take seconds, in which nothing is known of the worker."""
    clock, pulse = create_pulse()
    clock.advance(60)
    assert not pulse.is_silent()


def test_silence_lasts_until_an_answer() -> None:
    clock, pulse = create_pulse()
    pulse.ask()
    assert not pulse.is_silent()
    clock.advance(SILENT_SECONDS)
    assert pulse.is_silent()
    clock.advance(ASK_AGAIN_SECONDS)
    assert pulse.ask()
    assert pulse.is_silent()
    pulse.record_answer()
    assert not pulse.is_silent()
    assert pulse.ask()
