"""Detection of pauses on a virtual clock."""

from twisted.internet.task import Clock

from wasabiturn.utils.pauses import (
    CATCH_UP_SECONDS,
    MIN_PAUSE_SECONDS,
    TICK_SECONDS,
    PauseDetector,
)

PAUSE_SECONDS = TICK_SECONDS + MIN_PAUSE_SECONDS + 0.1


def create_detector(clock: Clock) -> PauseDetector:
    detector = PauseDetector(clock)
    detector.start()
    return detector


def test_steady_process_is_not_catching_up() -> None:
    clock = Clock()
    detector = create_detector(clock)
    for _ in range(100):
        clock.advance(0.1)
        assert not detector.is_catching_up()


def test_pause_is_noticed_before_the_timers_run() -> None:
    clock = Clock()
    detector = create_detector(clock)
    clock.rightNow += PAUSE_SECONDS
    assert detector.is_catching_up()


def test_pause_is_noticed_after_the_timers_have_run() -> None:
    clock = Clock()
    detector = create_detector(clock)
    clock.advance(PAUSE_SECONDS)
    assert detector.is_catching_up()
    clock.pump([0.05] * int(CATCH_UP_SECONDS / 0.05 + 1))
    assert not detector.is_catching_up()


def test_busy_moment_is_no_pause() -> None:
    clock = Clock()
    detector = create_detector(clock)
    clock.advance(MIN_PAUSE_SECONDS)
    assert not detector.is_catching_up()
