"""Fields of the platform's JSON bodies.

Fields that are absent have the platform's defaults; those of another type
refuse the whole body.
"""

import json
from typing import Any, final

from wasabiturn.exceptions import PlatformError


@final
class InvalidBodyError(PlatformError):
    """A body is not what its call takes; the text says why."""


def decode_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object in ``body``.

    Raises:
        InvalidBodyError: there is none.
    """
    try:
        decoded = json.loads(body)
    except ValueError as error:
        raise InvalidBodyError(f'no JSON: {error}') from error
    if not isinstance(decoded, dict):
        raise InvalidBodyError('no JSON object')
    return decoded


def read_list(written: Any, key: str) -> list[Any]:
    """Return the list at ``key``; an absent one is empty.

    Raises:
        InvalidBodyError: it is of another type.
    """
    found = written.get(key, []) if isinstance(written, dict) else None
    if not isinstance(found, list):
        raise InvalidBodyError(f'{key} is no list')
    return found


def read_text(written: dict[str, Any], key: str) -> str:
    """Return the text at ``key``; an absent one is empty.

    Raises:
        InvalidBodyError: it is of another type.
    """
    found = written.get(key, '')
    if not isinstance(found, str):
        raise InvalidBodyError(f'{key} is no text')
    return found


def read_name(written: Any, key: str) -> str:
    """Return the text at ``key``, which must not be empty.

    Raises:
        InvalidBodyError: it is of another type.
    """
    if not isinstance(written, dict):
        raise InvalidBodyError('an entry is no object')
    found = read_text(written, key)
    if not found:
        raise InvalidBodyError(f'{key} is missing')
    return found


def read_flag(written: dict[str, Any], key: str) -> bool:
    """Return the flag at ``key``; an absent one is false.

    Raises:
        InvalidBodyError: it is of another type.
    """
    found = written.get(key, False)
    if not isinstance(found, bool):
        raise InvalidBodyError(f'{key} is neither true nor false')
    return found


def read_count(written: dict[str, Any], key: str) -> int:
    """Return the whole number at ``key``; an absent one is 0.

    Raises:
        InvalidBodyError: it is of another type.
    """
    return check_whole(written.get(key, 0))


def check_whole(found: Any) -> int:
    """Return ``found`` if it is a whole number, not below 0.

    Raises:
        InvalidBodyError: it is of another type.
    """
    if isinstance(found, bool) or not isinstance(found, int):
        raise InvalidBodyError(f'{found!r} is no whole number')
    if found < 0:
        raise InvalidBodyError(f'{found!r} is negative')
    return found


def read_number(written: dict[str, Any], key: str) -> float:
    """Return the number at ``key``; an absent one is 0.

    Raises:
        InvalidBodyError: it is of another type.
    """
    found = written.get(key, 0)
    if isinstance(found, bool) or not isinstance(found, int | float):
        raise InvalidBodyError(f'{key} is no number')
    return float(found)
