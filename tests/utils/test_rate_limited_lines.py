"""Tests of the rate-limited output of log lines."""

import os
from pathlib import Path

from wasabiturn.utils.rate_limited_lines import (
    MAX_BYTES_PER_SECOND,
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


def test_long_lines_are_bounded_by_their_bytes(tmp_path: Path) -> None:
    path = tmp_path / 'log'
    with path.open('wb') as log:
        lines = open_rate_limited_lines(log.fileno())
        lines.clock = lambda: 10.0
        for _ in range(MAX_LINES_PER_SECOND):
            lines.write(b'x' * 16_383 + b'\n')
        assert path.stat().st_size <= MAX_BYTES_PER_SECOND
        assert lines.dropped > 0
        lines.clock = lambda: 11.0
        lines.write(b'next\n')
    assert path.read_bytes().endswith(b'next\n')
