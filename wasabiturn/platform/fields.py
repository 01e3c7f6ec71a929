"""Typed access to the fields of the platform's JSON bodies.

An absent field has the platform's default. A field of the wrong type, or one
that no message can hold, makes the whole body invalid.
"""

import math
from reprlib import repr as describe
from typing import Any, final

from wasabiturn.exceptions import PlatformError
from wasabiturn.utils.json_text import read_json

# Most amounts in messages have 32 bits, one of them for the sign.
AMOUNT_BITS = 31
MAX_AMOUNT = (1 << AMOUNT_BITS) - 1
# Every reader of JSON represents integers of that size exactly.
EXACT_BITS = 53
MAX_EXACT = (1 << EXACT_BITS) - 1
# Each value takes up to 200 bytes once it is decoded. A configuration of a few
# MB has a third of this number.
MAX_VALUES = 500_000


@final
class InvalidBodyError(PlatformError):
    """The body of a request or response is invalid; the text says why."""


def decode_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object in ``body``.

    Raises:
        InvalidBodyError: the body is not a JSON object, or has too many values.
    """
    if len(body) > MAX_VALUES and _count_values(body) > MAX_VALUES:
        raise InvalidBodyError('the JSON has too many values')
    try:
        decoded = read_json(body)
    except ValueError as error:
        raise InvalidBodyError(f'no JSON: {error}') from error
    if not isinstance(decoded, dict):
        raise InvalidBodyError('no JSON object')
    return decoded


def _count_values(body: bytes) -> int:
    """Return an upper bound of the values, without decoding them."""
    return sum(body.count(sign) for sign in (b',', b'[', b'{'))


def read_list(fields: Any, key: str) -> list[Any]:
    """Return the list at ``key``, or an empty list if it is absent.

    Raises:
        InvalidBodyError: the value is not a list.
    """
    value = fields.get(key, []) if isinstance(fields, dict) else None
    if not isinstance(value, list):
        raise InvalidBodyError(f'{key} is no list')
    return value


def read_str(fields: dict[str, Any], key: str) -> str:
    """Return the string at ``key``, or an empty string if it is absent.

    Raises:
        InvalidBodyError: the value is not a string that a message can hold.
    """
    return check_str(fields.get(key, ''), key)


def read_short_str(fields: dict[str, Any], key: str, max_bytes: int) -> str:
    """Return the string at ``key``, or an empty string if it is absent.

    Raises:
        InvalidBodyError: as ``check_short_str``.
    """
    return check_short_str(fields.get(key, ''), key, max_bytes)


def check_short_str(text: Any, key: str, max_bytes: int) -> str:
    """Return ``text``, found at ``key``, if it has few bytes in UTF-8.

    Raises:
        InvalidBodyError: it has more than ``max_bytes``, or is no string that a
            message can hold.
    """
    if len(check_str(text, key).encode()) > max_bytes:
        raise InvalidBodyError(f'{key} has more than {max_bytes} bytes')
    return str(text)


def check_str(text: Any, key: str) -> str:
    """Return ``text``, which was found at ``key``, if it is valid Unicode.

    Raises:
        InvalidBodyError: it is no string, or a message cannot hold it.
    """
    if not isinstance(text, str):
        raise InvalidBodyError(f'{key} is no text: {describe(text)}')
    try:
        text.encode()
    except UnicodeError as error:
        raise InvalidBodyError(f'{key} is not valid Unicode') from error
    return text


def read_required_str(fields: Any, key: str) -> str:
    """Return the string at ``key``, which must not be empty.

    Raises:
        InvalidBodyError: the value is absent, empty or not a string.
    """
    if not isinstance(fields, dict):
        raise InvalidBodyError('an entry is no object')
    value = read_str(fields, key)
    if not value:
        raise InvalidBodyError(f'{key} is missing')
    return value


def read_bool(fields: dict[str, Any], key: str) -> bool:
    """Return the Boolean at ``key``, or ``False`` if it is absent.

    Raises:
        InvalidBodyError: the value is not a Boolean.
    """
    value = fields.get(key, False)
    if not isinstance(value, bool):
        raise InvalidBodyError(f'{key} is neither true nor false')
    return value


def read_int(fields: dict[str, Any], key: str, limit: int = MAX_AMOUNT) -> int:
    """Return the integer from 0 to ``limit`` at ``key``, or 0 if it is absent.

    Raises:
        InvalidBodyError: the value is no such integer.
    """
    return check_int(fields.get(key, 0), key, limit)


def check_int(value: Any, key: str, limit: int = MAX_AMOUNT) -> int:
    """Return ``value``, found at ``key``, if it is an integer from 0 to limit.

    Raises:
        InvalidBodyError: ``value`` is no such integer.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise InvalidBodyError(f'{key} is no whole number: {describe(value)}')
    if not 0 <= value <= limit:
        raise InvalidBodyError(f'{key} is not from 0 to {limit}')
    return value


def read_float(fields: dict[str, Any], key: str) -> float:
    """Return the number at ``key``, or 0 if it is absent.

    Raises:
        InvalidBodyError: the value is not a finite number.
    """
    return check_float(fields.get(key, 0), key)


def check_float(value: Any, key: str) -> float:
    """Return ``value``, found at ``key``, if it is a finite number.

    Raises:
        InvalidBodyError: ``value`` is not a finite number.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidBodyError(f'{key} is no number: {describe(value)}')
    try:
        number = float(value)
    except OverflowError as error:
        raise InvalidBodyError(f'{key} is too large') from error
    if not math.isfinite(number):
        raise InvalidBodyError(f'{key} is not finite')
    return number
