"""Decoding of workers' lists of runs."""

from types import MappingProxyType
from typing import Any

from wasabiturn.messages.batch import EndedRow, RunningRow
from wasabiturn.messages.kinds import RunEnding
from wasabiturn.platform.fields import (
    MAX_EXACT,
    InvalidBodyError,
    check_float,
    check_int,
    check_str,
    decode_object,
    read_int,
    read_list,
)
from wasabiturn.process.agent.runs.port import RunListing

# Optional column: latency or CPU use of the run, see ``RunningRow.figure``.
_FIGURE_COLUMN = 4
# A worker lists at most this many ended runs at a time.
MAX_LISTED_ENDS = 500
_ENDINGS_BY_NAME = MappingProxyType(
    {
        'done': RunEnding.done,
        'failed': RunEnding.failed,
        'stopped': RunEnding.stopped,
        'lapsed': RunEnding.lapsed,
        'broken': RunEnding.broken,
        'alone': RunEnding.alone,
    },
)


def decode_listing(body: bytes) -> RunListing:
    """Return the running and ended runs that a worker lists.

    Raises:
        InvalidBodyError: a field is missing or invalid.
    """
    fields = decode_object(body)
    try:
        ended = [_decode_ended(row) for row in read_list(fields, 'ended')]
        return RunListing(
            born_ms=read_int(fields, 'born', MAX_EXACT),
            clock_ms=read_int(fields, 'clock_ms', MAX_EXACT),
            running=[
                _decode_running(row) for row in read_list(fields, 'running')
            ],
            ended=ended,
            is_truncated=len(ended) >= MAX_LISTED_ENDS,
        )
    except (TypeError, LookupError) as error:
        raise InvalidBodyError(
            f'invalid row in the list of runs: {error!r}'
        ) from error


def _decode_running(row: list[Any]) -> RunningRow:
    return RunningRow(
        task=check_str(row[0], 'task'),
        run=check_int(row[1], 'run', MAX_EXACT),
        checkpoint=check_str(row[2], 'saved'),
        percent=check_int(row[3], 'percent'),
        figure=_decode_figure(row),
    )


def _decode_ended(row: list[Any]) -> EndedRow:
    return EndedRow(
        number=check_int(row[0], 'number', MAX_EXACT),
        task=check_str(row[1], 'task'),
        run=check_int(row[2], 'run', MAX_EXACT),
        ending=_ENDINGS_BY_NAME[check_str(row[3], 'how')],
        checkpoint=check_str(row[4], 'saved'),
    )


def _decode_figure(row: list[Any]) -> float:
    if len(row) <= _FIGURE_COLUMN:
        return 0
    return check_float(row[_FIGURE_COLUMN], 'figure')
