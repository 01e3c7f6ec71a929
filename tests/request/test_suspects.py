"""Tests of the decisions on requests that may crash backend servers."""

import pytest

from wasabiturn.ids import Ticket
from wasabiturn.messages.kinds import CrashSuspicion
from wasabiturn.request.suspects import assess_suspicion, may_run_again

FIRST = Ticket(1)
SECOND = Ticket(2)
THIRD = Ticket(3)


@pytest.mark.parametrize(
    ('crashes_by_ticket', 'expected'),
    [
        ({FIRST: 0}, CrashSuspicion.only),
        ({FIRST: 1}, CrashSuspicion.only),
        ({FIRST: 0, SECOND: 0}, CrashSuspicion.shared),
        ({FIRST: 1, SECOND: 0, THIRD: 0}, CrashSuspicion.only),
        ({FIRST: 1, SECOND: 1}, CrashSuspicion.shared),
        ({FIRST: 0, SECOND: 1}, CrashSuspicion.shared),
        ({FIRST: 2, SECOND: 1}, CrashSuspicion.only),
        ({FIRST: 1, SECOND: 2}, CrashSuspicion.shared),
    ],
)
def test_suspicion_falls_on_the_request_with_most_crashes(
    crashes_by_ticket: dict[Ticket, int], expected: CrashSuspicion
) -> None:
    assert assess_suspicion(FIRST, crashes_by_ticket) is expected


@pytest.mark.parametrize(
    ('crashes', 'newest', 'expected'),
    [
        (0, CrashSuspicion.none, True),
        (1, CrashSuspicion.only, True),
        (2, CrashSuspicion.shared, True),
        (2, CrashSuspicion.only, False),
        (3, CrashSuspicion.shared, False),
    ],
)
def test_request_is_given_up_after_two_or_three_crashes(
    crashes: int, newest: CrashSuspicion, expected: bool
) -> None:
    assert may_run_again(crashes, newest) is expected
