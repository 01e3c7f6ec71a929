"""Formats of single values in a settings file.

Each parser takes the text of a key and raises ``ValueError`` if it is invalid.
"""

import ipaddress
from collections.abc import Callable
from pathlib import Path
from typing import Any, final

import attrs

from wasabiturn.connection.endpoint import Endpoint, parse_endpoint

MAX_PORT = 65535
# Key of the format in the metadata of an attrs field.
VALUE_FORMAT = 'setting'


@final
@attrs.frozen
class ValueFormat:
    """Parser of the text of a key, and a description for operators."""

    parse: Callable[[str], Any]
    description: str


@final
@attrs.frozen
class Member:
    """Name of a control instance, and the endpoint at which peers reach it."""

    name: str
    endpoint: Endpoint


def setting(value_format: ValueFormat, default: Any = attrs.NOTHING) -> Any:
    """Declare one key of a section; it is required if it has no default."""
    return attrs.field(default=default, metadata={VALUE_FORMAT: value_format})


def text() -> ValueFormat:
    """Accept any non-empty text."""
    return ValueFormat(parse=_parse_text, description='text that is not empty')


def path() -> ValueFormat:
    """Accept the path of a file or folder."""
    return ValueFormat(
        parse=lambda raw: Path(_parse_text(raw)),
        description='a path',
    )


def endpoint() -> ValueFormat:
    """Accept ``ip:port``."""
    return ValueFormat(
        parse=_parse_endpoint,
        description='ip:port, with a port from 1 to 65535',
    )


def endpoints() -> ValueFormat:
    """Accept one or more ``ip:port``, separated by commas."""
    return ValueFormat(
        parse=lambda raw: tuple(_parse_endpoint(part) for part in _split(raw)),
        description='one or more ip:port, separated by commas',
    )


def members() -> ValueFormat:
    """Accept one or more ``name@ip:port``, separated by commas."""
    return ValueFormat(
        parse=lambda raw: tuple(_parse_member(part) for part in _split(raw)),
        description='one or more name@ip:port, separated by commas',
    )


def integer(low: int, high: int) -> ValueFormat:
    """Accept a whole number from ``low`` to ``high``."""
    return ValueFormat(
        parse=lambda raw: _within(int(raw), low, high),
        description=f'a whole number from {low} to {high}',
    )


def number(low: float, high: float) -> ValueFormat:
    """Accept a number from ``low`` to ``high``."""
    return ValueFormat(
        parse=lambda raw: _within(float(raw), low, high),
        description=f'a number from {low} to {high}',
    )


def flag() -> ValueFormat:
    """Accept ``yes`` or ``no``."""
    return ValueFormat(
        parse=lambda raw: _one_of(raw.strip(), ('yes', 'no')) == 'yes',
        description='yes or no',
    )


def choice(*names: str) -> ValueFormat:
    """Accept one of ``names``."""
    return ValueFormat(
        parse=lambda raw: _one_of(raw.strip(), names),
        description=f'one of {", ".join(names)}',
    )


def _parse_text(raw: str) -> str:
    stripped = raw.strip()
    if not stripped:
        raise ValueError('empty')
    return stripped


def _split(raw: str) -> list[str]:
    parts = [part.strip() for part in raw.split(',')]
    kept = [part for part in parts if part]
    if not kept:
        raise ValueError('empty')
    return kept


def _parse_endpoint(raw: str) -> Endpoint:
    parsed = parse_endpoint(raw.strip())
    ipaddress.ip_address(parsed.host)
    _within(parsed.port, 1, MAX_PORT)
    return parsed


def _parse_member(raw: str) -> Member:
    name, separator, address = raw.partition('@')
    if not separator:
        raise ValueError('no @')
    return Member(name=_parse_text(name), endpoint=_parse_endpoint(address))


def _within(value: Any, low: float, high: float) -> Any:
    if not low <= value <= high:
        raise ValueError('out of range')
    return value


def _one_of(value: str, names: tuple[str, ...]) -> str:
    if value not in names:
        raise ValueError('not one of the names')
    return value
