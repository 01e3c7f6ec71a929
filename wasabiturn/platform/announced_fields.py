"""Fields of a worker's announcement that an invalid entry could break.

Such an entry must not change what is known of a worker, nor be passed on in a
message that cannot hold it.
"""

from typing import Any

from wasabiturn.platform.fields import MAX_EXACT, InvalidBodyError, read_int

MAX_ID_LENGTH = 256


def read_capacity(fields: dict[str, Any]) -> tuple[int, int, int]:
    """Return millicores, memory in MB, and accelerators.

    Raises:
        InvalidBodyError: the CPU or the memory is missing, or one is invalid.
    """
    capacity = fields.get('capacity')
    if not isinstance(capacity, dict):
        raise InvalidBodyError('a worker has no capacity')
    if 'cpu' not in capacity or 'mem_mb' not in capacity:
        raise InvalidBodyError('a part of the capacity is missing')
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
