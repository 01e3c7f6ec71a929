"""Fields of a worker's announcement.

An announcement without one of them, or with one of another type, is from
another writer. It must not change what is known of a worker, nor be passed on
in a message that cannot hold it. Fields that are not named here may be added.
"""

from typing import Any, final

import attrs

from wasabiturn.platform.fields import (
    MAX_EXACT,
    InvalidBodyError,
    check_short_str,
    read_int,
    read_list,
    read_required_str,
    read_str,
)

MAX_ID_LENGTH = 256
ANNOUNCED_NAMES = frozenset(
    (
        'service',
        'addr',
        'zone',
        'version',
        'slots',
        'state',
        'cold_left_ms',
        'capacity',
        'labels',
        'clock_ms',
        'seq',
        'born',
    )
)
CAPACITY_NAMES = frozenset(('cpu', 'mem_mb', 'gpu'))


@final
@attrs.frozen
class WorkerLimits:
    """Largest amounts of one announcement; texts in bytes of UTF-8.

    What an agent keeps of it goes to the leader with each report.
    """

    max_labels: int = 64
    # Of a label, a service or a zone.
    max_name_bytes: int = 256


DEFAULT_WORKER_LIMITS = WorkerLimits()


def read_labels(
    fields: dict[str, Any], limits: WorkerLimits
) -> tuple[str, ...]:
    """Return the labels of a worker.

    Raises:
        InvalidBodyError: they are invalid, too many or too long.
    """
    labels = read_list(fields, 'labels')
    if len(labels) > limits.max_labels:
        raise InvalidBodyError(f'more than {limits.max_labels} labels')
    return tuple(
        check_short_str(label, 'labels', limits.max_name_bytes)
        for label in labels
    )


def check_announcement(fields: dict[str, Any]) -> None:
    """Check that all fields are there, and the types of those not used.

    Raises:
        InvalidBodyError: a field is missing, or one that is not used is
            invalid.
    """
    _check_names(fields, ANNOUNCED_NAMES)
    read_required_str(fields, 'addr')
    read_str(fields, 'version')
    read_int(fields, 'slots')
    read_int(fields, 'cold_left_ms', MAX_EXACT)
    read_int(fields, 'clock_ms', MAX_EXACT)


def read_capacity(fields: dict[str, Any]) -> tuple[int, int, int]:
    """Return millicores, memory in MB, and accelerators.

    Raises:
        InvalidBodyError: one is missing or invalid.
    """
    capacity = fields.get('capacity')
    if not isinstance(capacity, dict):
        raise InvalidBodyError('a worker has no capacity')
    _check_names(capacity, CAPACITY_NAMES)
    return (
        read_int(capacity, 'cpu'),
        read_int(capacity, 'mem_mb'),
        read_int(capacity, 'gpu'),
    )


def read_birth(fields: dict[str, Any]) -> int:
    """Return the Unix millisecond of a worker's start.

    Raises:
        InvalidBodyError: it is missing or invalid.
    """
    born_ms = read_int(fields, 'born', MAX_EXACT)
    if not born_ms:
        raise InvalidBodyError('a worker has no time of birth')
    return born_ms


def check_id(worker: str) -> str:
    """Return the id of a worker if there is one.

    Raises:
        InvalidBodyError: it is empty or too long.
    """
    if not 0 < len(worker) <= MAX_ID_LENGTH:
        raise InvalidBodyError(
            f'the id of a worker has 1 to {MAX_ID_LENGTH} characters'
        )
    return worker


def _check_names(fields: dict[str, Any], names: frozenset[str]) -> None:
    missing = sorted(names - fields.keys())
    if missing:
        raise InvalidBodyError(f'missing: {", ".join(missing)}')
