"""Fields of a worker's announcement that an invalid entry could break.

Such an entry must not change what is known of a worker, nor be passed on in a
message that cannot hold it.
"""

from typing import Any

from wasabiturn.platform.fields import InvalidBodyError, read_int

# Messages about workers hold amounts in 32 bits, one of them for the sign.
AMOUNT_BITS = 31
# Every reader of JSON represents integers of that size exactly.
EXACT_BITS = 53


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
        _read_amount(capacity, 'cpu'),
        _read_amount(capacity, 'mem_mb'),
        _read_amount(capacity, 'gpu'),
    )


def read_birth(fields: dict[str, Any]) -> int:
    """Return the Unix millisecond of a worker's start.

    Raises:
        InvalidBodyError: it is missing or invalid.
    """
    born_ms = read_int(fields, 'born')
    if not born_ms or born_ms.bit_length() > EXACT_BITS:
        raise InvalidBodyError('a worker has no time of birth')
    return born_ms


def read_sequence(fields: dict[str, Any]) -> int:
    """Return the number of an announcement.

    Raises:
        InvalidBodyError: it is invalid.
    """
    sequence = read_int(fields, 'seq')
    if sequence.bit_length() > EXACT_BITS:
        raise InvalidBodyError('seq is too large')
    return sequence


def check_id(worker: str) -> str:
    """Return the id of a worker if there is one.

    Raises:
        InvalidBodyError: it is empty.
    """
    if not worker:
        raise InvalidBodyError('a worker has no id')
    return worker


def check_text(text: Any) -> str:
    """Return ``text`` if it is a string that a message can hold.

    Raises:
        InvalidBodyError: it is no string, or not valid Unicode.
    """
    if not isinstance(text, str):
        raise InvalidBodyError(f'{text!r} is no text')
    try:
        text.encode()
    except UnicodeError as error:
        raise InvalidBodyError('a text is not valid Unicode') from error
    return text


def _read_amount(capacity: dict[str, Any], key: str) -> int:
    amount = read_int(capacity, key)
    if amount.bit_length() > AMOUNT_BITS:
        raise InvalidBodyError(f'{key} is too large')
    return amount
