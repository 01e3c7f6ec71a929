"""Tests of the rate-limited output of log lines."""

import os

from wasabiturn.utils.rate_limited_lines import (
    MAX_LINES_PER_SECOND,
    open_rate_limited_lines,
)


def test_slow_or_closed_reader_drops_lines_without_blocking() -> None:
    read_end, write_end = os.pipe()
    lines = open_rate_limited_lines(write_end)
    for _ in range(MAX_LINES_PER_SECOND):
        lines.write(b'x' * 4000 + b'\n')
    assert lines.dropped > 0
    os.close(read_end)
    lines.write(b'after the reader has gone\n')
    os.close(write_end)


def test_lines_over_the_rate_limit_are_counted_and_reported() -> None:
    read_end, write_end = os.pipe()
    lines = open_rate_limited_lines(write_end)
    now = [10.0]
    lines.clock = lambda: now[0]
    for number in range(MAX_LINES_PER_SECOND + 7):
        lines.write(b'%d\n' % number)
    assert lines.dropped == 7
    now[0] = 11
    lines.write(b'next\n')
    written = os.read(read_end, 1_000_000).splitlines()
    assert written[-2:] == [
        b'{"text": "log: dropped lines", "count": 7}',
        b'next',
    ]
    os.close(read_end)
    os.close(write_end)
