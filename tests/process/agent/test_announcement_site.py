"""Announcements over HTTP, byte for byte."""

import json
from typing import Any

import pytest
from twisted.internet.testing import StringTransport

from wasabiturn.messages.session import BackendRecord
from wasabiturn.process.agent.announcements import (
    MAX_ANNOUNCEMENT_BYTES,
    create_announcement_site,
)

GOOD = json.dumps(
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
    taken: list[BackendRecord] = []
    site = create_announcement_site(taken.append)
    channel: Any = site.buildProtocol(None)
    transport = StringTransport()
    channel.makeConnection(transport)
    head = f'{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n'
    sent = f'{head}Content-Length: {len(body)}\r\n\r\n{body}'
    channel.dataReceived(sent.encode())
    channel.connectionLost(None)
    answer = transport.value().decode()
    return int(answer.split()[1]), answer.partition('\r\n\r\n')[2], taken


def test_takes_an_announcement() -> None:
    status, body, taken = send('PUT', '/v1/backend-server', GOOD)
    assert (status, body) == (204, '')
    assert [record.slots for record in taken] == [8]


def test_names_the_field_at_fault() -> None:
    wrong = GOOD.replace('64', '0')
    status, body, taken = send('PUT', '/v1/backend-server', wrong)
    assert status == 400
    assert json.loads(body)['error']['field'] == 'connections'
    assert not taken


def test_refuses_an_oversized_body() -> None:
    body = ' ' * (MAX_ANNOUNCEMENT_BYTES + 1)
    status, _, taken = send('PUT', '/v1/backend-server', body)
    assert (status, taken) == (400, [])


@pytest.mark.parametrize(
    ('method', 'path', 'expected'),
    [
        ('GET', '/v1/backend-server', 405),
        ('PUT', '/v1/other', 404),
        ('PUT', '/v1/backend-server/more', 404),
    ],
)
def test_refuses_what_is_not_offered(
    method: str,
    path: str,
    expected: int,
) -> None:
    status, _, taken = send(method, path, GOOD)
    assert (status, taken) == (expected, [])
