"""What workers say of themselves and of their runs."""

from types import MappingProxyType
from typing import Any

from wasabiturn.messages.batch import EndedRow, RunningRow
from wasabiturn.messages.kinds import RunEnding
from wasabiturn.platform.fields import (
    InvalidBodyError,
    decode_object,
    read_count,
    read_list,
    read_name,
    read_text,
)
from wasabiturn.process.agent.runs.port import RunListing, WorkerIdentity

_RACK_PREFIX = 'r'
_FIGURE_COLUMN = 4
_ENDINGS_BY_WORD = MappingProxyType(
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
    """Return what a worker announces of itself.

    Raises:
        InvalidBodyError: a field is missing or wrong.
    """
    written = decode_object(body)
    capacity = written.get('capacity')
    if not isinstance(capacity, dict):
        raise InvalidBodyError('a worker has no capacity')
    state = read_text(written, 'state')
    if state not in {'ready', 'draining'}:
        raise InvalidBodyError(f'a worker is {state!r}')
    labels = tuple(str(label) for label in read_list(written, 'labels'))
    return WorkerIdentity(
        worker=worker,
        born_ms=read_count(written, 'born'),
        service_name=read_name(written, 'service'),
        data_centre=str(written.get('zone') or data_centre),
        # The rack is the label of this form; the others name the worker's kind.
        rack=next((each for each in labels if _is_rack(each)), ''),
        labels=labels,
        millicores=read_count(capacity, 'cpu'),
        memory_mb=read_count(capacity, 'mem_mb'),
        accelerators=read_count(capacity, 'gpu'),
        is_draining=state == 'draining',
        sequence=read_count(written, 'seq'),
    )


def decode_listing(body: bytes) -> RunListing:
    """Return what a worker lists of its runs.

    Raises:
        InvalidBodyError: a field is missing or wrong.
    """
    written = decode_object(body)
    try:
        return RunListing(
            born_ms=read_count(written, 'born'),
            clock_ms=read_count(written, 'clock_ms'),
            running=[
                _decode_running(row) for row in read_list(written, 'running')
            ],
            ended=[_decode_ended(row) for row in read_list(written, 'ended')],
        )
    except (TypeError, ValueError, LookupError) as error:
        raise InvalidBodyError(f'a row is wrong: {error!r}') from error


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
        ending=_ENDINGS_BY_WORD[row[3]],
        checkpoint=str(row[4]),
    )


def _is_rack(label: str) -> bool:
    return label.startswith(_RACK_PREFIX) and '-' in label
