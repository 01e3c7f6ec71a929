"""Typed access to the fields of the platform's JSON bodies.

An absent field has the platform's default. A field of the wrong type makes the
whole body invalid.
"""

import json
from typing import Any, final

from wasabiturn.exceptions import PlatformError


@final
class InvalidBodyError(PlatformError):
    """The body of a request or response is invalid; the text says why."""


def decode_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object in ``body``.

    Raises:
        InvalidBodyError: the body is not a JSON object.
    """
    try:
        decoded = json.loads(body)
    except ValueError as error:
        raise InvalidBodyError(f'no JSON: {error}') from error
    if not isinstance(decoded, dict):
        raise InvalidBodyError('no JSON object')
    return decoded


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
        InvalidBodyError: the value is not a string.
    """
    value = fields.get(key, '')
    if not isinstance(value, str):
        raise InvalidBodyError(f'{key} is no text')
    return value


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


def read_int(fields: dict[str, Any], key: str) -> int:
    """Return the non-negative integer at ``key``, or 0 if it is absent.

    Raises:
        InvalidBodyError: the value is not a non-negative integer.
    """
    return check_int(fields.get(key, 0))


def check_int(value: Any) -> int:
    """Return ``value`` if it is a non-negative integer.

    Raises:
        InvalidBodyError: ``value`` is not a non-negative integer.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise InvalidBodyError(f'{value!r} is no whole number')
    if value < 0:
        raise InvalidBodyError(f'{value!r} is negative')
    return value


def read_float(fields: dict[str, Any], key: str) -> float:
    """Return the number at ``key``, or 0 if it is absent.

    Raises:
        InvalidBodyError: the value is not a number.
    """
    value = fields.get(key, 0)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidBodyError(f'{key} is no number')
    return float(value)
