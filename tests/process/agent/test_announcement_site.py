"""Announcements of backend servers over HTTP."""

import json
from typing import Any

import pytest
from twisted.internet.testing import StringTransport

from wasabiturn.messages.session import BackendRecord
from wasabiturn.process.agent.announcements import (
    MAX_ANNOUNCEMENT_BYTES,
    create_announcement_site,
)

VALID_ANNOUNCEMENT = json.dumps(
    {
        'service': 'standdesk',
        'address': '127.0.0.1:8080',
        'slots': 8,
        'connections': 64,
        'incarnation': 'a1',
    },
)


def send(
    method: str,
    path: str,
    body: str,
) -> tuple[int, str, list[BackendRecord]]:
    announced: list[BackendRecord] = []
    site = create_announcement_site(announced.append)
    channel: Any = site.buildProtocol(None)
    transport = StringTransport()
    channel.makeConnection(transport)
    head = f'{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n'
    sent = f'{head}Content-Length: {len(body)}\r\n\r\n{body}'
    channel.dataReceived(sent.encode())
    channel.connectionLost(None)
    answer = transport.value().decode()
    return int(answer.split()[1]), answer.partition('\r\n\r\n')[2], announced


def test_accepts_announcement() -> None:
    status, body, announced = send(
        'PUT', '/v1/backend-server', VALID_ANNOUNCEMENT
    )
    assert (status, body) == (204, '')
    assert [record.slots for record in announced] == [8]


def test_error_names_invalid_field() -> None:
    invalid = VALID_ANNOUNCEMENT.replace('64', '0')
    status, body, announced = send('PUT', '/v1/backend-server', invalid)
    assert status == 400
    assert json.loads(body)['error']['field'] == 'connections'
    assert not announced


def test_rejects_oversized_body() -> None:
    body = ' ' * (MAX_ANNOUNCEMENT_BYTES + 1)
    status, _, announced = send('PUT', '/v1/backend-server', body)
    assert (status, announced) == (400, [])


@pytest.mark.parametrize(
    ('method', 'path', 'expected'),
    [
        ('GET', '/v1/backend-server', 405),
        ('PUT', '/v1/other', 404),
        ('PUT', '/v1/backend-server/more', 404),
    ],
)
def test_rejects_other_methods_and_paths(
    method: str,
    path: str,
    expected: int,
) -> None:
    status, _, announced = send(method, path, VALID_ANNOUNCEMENT)
    assert (status, announced) == (expected, [])
