"""Decoding of workers' announcements and lists of runs."""

from types import MappingProxyType
from typing import Any

from wasabiturn.messages.batch import EndedRow, RunningRow
from wasabiturn.messages.kinds import RunEnding
from wasabiturn.platform.announced_fields import (
    check_id,
    check_text,
    read_birth,
    read_capacity,
    read_sequence,
)
from wasabiturn.platform.fields import (
    InvalidBodyError,
    decode_object,
    read_int,
    read_list,
    read_required_str,
    read_str,
)
from wasabiturn.process.agent.runs.port import RunListing, WorkerIdentity

_RACK_PREFIX = 'r'
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


def decode_identity(
    worker: str,
    body: bytes,
    data_centre: str,
) -> WorkerIdentity:
    """Return the identity and capacity that a worker announces.

    Raises:
        InvalidBodyError: a field is missing or invalid.
    """
    fields = decode_object(body)
    millicores, memory_mb, accelerators = read_capacity(fields)
    state = read_str(fields, 'state')
    if state not in {'ready', 'draining'}:
        raise InvalidBodyError(f'a worker is {state!r}')
    labels = tuple(check_text(each) for each in read_list(fields, 'labels'))
    return WorkerIdentity(
        worker=check_id(worker),
        born_ms=read_birth(fields),
        service_name=check_text(read_required_str(fields, 'service')),
        data_centre=check_text(read_str(fields, 'zone')) or data_centre,
        # One label names the rack; the others name the worker's kind.
        rack=next((each for each in labels if _is_rack(each)), ''),
        labels=labels,
        millicores=millicores,
        memory_mb=memory_mb,
        accelerators=accelerators,
        is_draining=state == 'draining',
        sequence=read_sequence(fields),
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
            born_ms=read_int(fields, 'born'),
            clock_ms=read_int(fields, 'clock_ms'),
            running=[
                _decode_running(row) for row in read_list(fields, 'running')
            ],
            ended=ended,
            is_truncated=len(ended) >= MAX_LISTED_ENDS,
        )
    except (TypeError, ValueError, LookupError) as error:
        raise InvalidBodyError(
            f'invalid row in the list of runs: {error!r}'
        ) from error


def _decode_running(row: list[Any]) -> RunningRow:
    return RunningRow(
        task=str(row[0]),
        run=int(row[1]),
        checkpoint=str(row[2]),
        percent=int(row[3]),
        figure=float(row[_FIGURE_COLUMN]) if len(row) > _FIGURE_COLUMN else 0.0,
    )


def _decode_ended(row: list[Any]) -> EndedRow:
    return EndedRow(
        number=int(row[0]),
        task=str(row[1]),
        run=int(row[2]),
        ending=_ENDINGS_BY_NAME[row[3]],
        checkpoint=str(row[4]),
    )


def _is_rack(label: str) -> bool:
    return label.startswith(_RACK_PREFIX) and '-' in label
