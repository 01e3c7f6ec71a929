"""Entries of other writers: too deep, too large, out of range, no text."""

import json
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from tests.platform.test_decoding import ANNOUNCEMENT, CONFIGURATION, ROUTE
from wasabiturn.connection.http_messages import HttpRequest
from wasabiturn.messages.batch import JobCall, PutRouting, WorkerReport
from wasabiturn.messages.codec import pack
from wasabiturn.platform.announcements import AnnouncementHandler
from wasabiturn.platform.fields import InvalidBodyError
from wasabiturn.platform.http_server import JsonServer
from wasabiturn.platform.jobs import decode_job
from wasabiturn.platform.listings import decode_listing
from wasabiturn.platform.routing import decode_routing
from wasabiturn.platform.workers import decode_identity
from wasabiturn.process.agent.announcements import (
    AnnouncementError,
    parse_announcement,
)
from wasabiturn.version.resources import MalformedError, parse_json

STEP = {
    'count': 1,
    'cpu': 500,
    'mem_mb': 256,
    'gpu': 1,
    'est_ms': 900,
    'after': [],
    'requires': 'a',
    'affinity': 'r1-3',
    'max_per_server': 1,
    'image': 'x',
    'goal_ms': 1,
    'max_unavailable': 1,
}
JOB = {
    'spec': 'text',
    'steps': [STEP],
    'repeats': 1,
    'first_ms': 1,
    'interval_ms': 1,
}
RUNNING_ROW = ['a.0.0.1', 2, 'c', 41, 7]
ENDED_ROW = [58, 'a.0.0.2', 1, 'done', '']
LISTING = {
    'born': 1,
    'clock_ms': 2,
    'running': [RUNNING_ROW],
    'ended': [ENDED_ROW],
}


def pack_job(body: bytes) -> bytes:
    return pack(JobCall(declaration=decode_job(body)))


def pack_routing(body: bytes) -> bytes:
    return pack(PutRouting(routing=decode_routing(body)))


def pack_identity(body: bytes) -> bytes:
    identity = decode_identity('i-1', body, 'home')
    return pack(
        WorkerReport(
            worker=identity.worker,
            born_ms=identity.born_ms,
            service_name=identity.service_name,
            data_centre=identity.data_centre,
            rack=identity.rack,
            labels=list(identity.labels),
            millicores=identity.millicores,
            memory_mb=identity.memory_mb,
            accelerators=identity.accelerators,
            sequence=identity.sequence,
        )
    )


def pack_listing(body: bytes) -> bytes:
    listing = decode_listing(body)
    return pack(WorkerReport(running=listing.running, ended=listing.ended))


# How each body is read and passed on, with a valid one.
READERS: list[tuple[Callable[[bytes], bytes], Any]] = [
    (pack_job, JOB),
    (pack_routing, CONFIGURATION | {'routes': [ROUTE]}),
    (pack_identity, ANNOUNCEMENT),
    (pack_listing, LISTING),
]
NESTED = '[' * 100_000 + ']' * 100_000
# Deep enough to be read, too deep to be described in the error.
NEARLY_TOO_DEEP = '[' * 900 + ']' * 900
MAX_ERROR_LENGTH = 1000
ODD_VALUES = [
    NEARLY_TOO_DEEP,
    '9' * 400,
    '9' * 5000,
    '-1',
    '-' + '9' * 400,
    str(2**31),
    str(2**53),
    str(2**63),
    '1e999',
    'NaN',
    '-Infinity',
    '1.5',
    '"\\ud800"',
    'null',
    'true',
    '{}',
    '[[]]',
    '""',
]


def list_bodies(content: Any, odd: str) -> list[bytes]:
    """Return the body once for each of its values, which ``odd`` replaces."""
    marker = '<odd>'

    def replace(part: Any) -> list[Any]:
        variants: list[Any] = [marker]
        if isinstance(part, dict):
            for key in part:
                variants.extend(part | {key: new} for new in replace(part[key]))
        elif isinstance(part, list):
            for index, each in enumerate(part):
                variants.extend(
                    [*part[:index], new, *part[index + 1 :]]
                    for new in replace(each)
                )
        return variants

    texts = [json.dumps(variant) for variant in replace(content)]
    return [text.replace(json.dumps(marker), odd).encode() for text in texts]


def find_error(read: Callable[[bytes], bytes], body: bytes) -> str:
    """Return why a body is refused; empty if it is passed on."""
    try:
        read(body)
    except InvalidBodyError as error:
        return str(error)
    return ''


@pytest.mark.parametrize(('read', 'content'), READERS)
def test_valid_body_is_passed_on(
    read: Callable[[bytes], bytes], content: Any
) -> None:
    assert read(json.dumps(content).encode())


@pytest.mark.parametrize('odd', ODD_VALUES)
@pytest.mark.parametrize(('read', 'content'), READERS)
def test_odd_value_is_refused_or_can_be_passed_on(
    read: Callable[[bytes], bytes], content: Any, odd: str
) -> None:
    for body in list_bodies(content, odd):
        assert len(find_error(read, body)) < MAX_ERROR_LENGTH


@pytest.mark.parametrize(('read', 'content'), READERS)
def test_deeply_nested_body_is_refused(
    read: Callable[[bytes], bytes], content: Any
) -> None:
    for body in (NESTED.encode(), *list_bodies(content, NESTED)):
        with pytest.raises(InvalidBodyError):
            read(body)


@pytest.mark.parametrize('worker', ['', 'i' * 10_000])
def test_announcement_under_an_odd_id_is_refused(worker: str) -> None:
    with pytest.raises(InvalidBodyError):
        decode_identity(worker, json.dumps(ANNOUNCEMENT).encode(), 'home')


@pytest.mark.parametrize('body', [NESTED, f'{{"address": {NEARLY_TOO_DEEP}}}'])
def test_deeply_nested_announcement_of_a_backend_server_is_refused(
    body: str,
) -> None:
    with pytest.raises(AnnouncementError):
        parse_announcement(body.encode())


@pytest.mark.parametrize('port', ['65536', '-1', '9' * 400, '9' * 5000, '1e9'])
def test_backend_server_with_a_port_out_of_range_is_refused(port: str) -> None:
    announced = {
        'service': 's',
        'address': f'127.0.0.1:{port}',
        'slots': 8,
        'connections': 64,
        'incarnation': 'a1',
    }
    with pytest.raises(AnnouncementError) as raised:
        parse_announcement(json.dumps(announced).encode())
    assert raised.value.field == 'address'


def test_deeply_nested_resource_is_refused() -> None:
    with pytest.raises(MalformedError):
        parse_json(NESTED.encode())


def test_odd_entry_is_answered_and_not_passed_on() -> None:
    reconciler: Any = SimpleNamespace(announce=pytest.fail)
    handler = AnnouncementHandler(reconciler, 'home')
    request = HttpRequest(
        method='POST',
        path='/api/Instances.Heartbeat/i-1',
        headers_by_name={},
        body=NESTED.encode(),
    )
    statuses: list[int] = []
    handled = JsonServer(handler.handle).handle(request)
    handled.addCallback(lambda response: statuses.append(response.status))
    assert statuses == [400]
