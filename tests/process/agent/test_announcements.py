"""Parsing and validation of announcements."""

import json
from typing import Any

import pytest

from wasabiturn.process.agent.announcements import (
    AnnouncementError,
    parse_announcement,
)

VALID_ANNOUNCEMENT = {
    'service': 'standdesk',
    'address': '127.0.0.1:8080',
    'slots': 8,
    'connections': 64,
    'incarnation': 'a1',
}


def test_accepts_complete_announcement() -> None:
    record = parse_announcement(json.dumps(VALID_ANNOUNCEMENT).encode())
    assert (record.slots, record.connections) == (8, 64)
    assert not record.leaving


@pytest.mark.parametrize(
    ('field', 'invalid'),
    [
        ('service', ''),
        ('service', 7),
        ('service', 'a/b'),
        ('address', 'localhost:80'),
        ('address', '127.0.0.1:0'),
        ('address', None),
        ('slots', 0),
        ('slots', True),
        ('slots', 1.5),
        ('connections', 10**9),
        ('incarnation', None),
        ('leaving', 'yes'),
    ],
)
def test_error_names_invalid_field(field: str, invalid: Any) -> None:
    with pytest.raises(AnnouncementError) as raised:
        parse_announcement(
            json.dumps({**VALID_ANNOUNCEMENT, field: invalid}).encode()
        )
    assert raised.value.field == field


@pytest.mark.parametrize('content', [b'', b'[]', b'\xff', b'{"service": '])
def test_rejects_body_that_is_no_object(content: bytes) -> None:
    with pytest.raises(AnnouncementError):
        parse_announcement(content)
