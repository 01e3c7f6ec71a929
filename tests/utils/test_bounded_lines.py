"""Lines that never block the program that writes them."""

import os

from wasabiturn.utils.bounded_lines import (
    MAX_LINES_PER_SECOND,
    open_bounded_lines,
)


def test_a_reader_that_lags_costs_lines_and_no_time() -> None:
    reading, writing = os.pipe()
    lines = open_bounded_lines(writing)
    for _ in range(MAX_LINES_PER_SECOND):
        lines.write(b'x' * 4000 + b'\n')
    assert lines.dropped > 0
    os.close(reading)
    lines.write(b'after the reader has gone\n')
    os.close(writing)


def test_lines_over_the_bound_are_counted_and_told() -> None:
    reading, writing = os.pipe()
    lines = open_bounded_lines(writing)
    now = [10.0]
    lines.clock = lambda: now[0]
    for number in range(MAX_LINES_PER_SECOND + 7):
        lines.write(b'%d\n' % number)
    assert lines.dropped == 7
    now[0] = 11
    lines.write(b'next\n')
    written = os.read(reading, 1_000_000).splitlines()
    assert written[-2:] == [
        b'{"text": "log: dropped lines", "count": 7}',
        b'next',
    ]
    os.close(reading)
    os.close(writing)
