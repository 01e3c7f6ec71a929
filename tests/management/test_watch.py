"""Tests of ``watch``: silence, resumption and no repeated events."""

import json
from typing import Any

from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock

from wasabiturn.management.http_client import ApiClient, HttpRequest
from wasabiturn.management.watch import Watcher
from wasabiturn.management.watch_reader import WatchReader


def encode_event(kind: str, revision: int) -> bytes:
    resource = {'name': 'a', 'revision': revision, 'spec': {}}
    event: dict[str, Any] = {'type': kind, 'revision': revision}
    if kind == 'snapshot':
        event['items'] = [resource]
    elif kind != 'heartbeat':
        event['resource'] = resource
    return json.dumps(event).encode() + b'\n'


class FakeResponse:
    """HTTP response with a body delivered by the test."""

    def __init__(self, code: int = 200) -> None:
        self.code = code
        self.body: Any = None
        self.aborted = False

    def deliverBody(self, body: Any) -> None:
        self.body = body
        body.makeConnection(self)

    def abortConnection(self) -> None:
        self.aborted = True
        self.body.connectionLost()


class FakeSender:
    def __init__(self) -> None:
        self.responses: list[FakeResponse] = []
        self.paths: list[str] = []
        self.codes: list[int] = []

    def open(self, server: str, request: HttpRequest) -> Deferred[Any]:
        self.paths.append(request.path)
        code = self.codes.pop(0) if self.codes else 200
        if code == 0:
            return fail(OSError('refused'))
        self.responses.append(FakeResponse(code))
        return succeed(self.responses[-1])


class WatcherHarness:
    def __init__(self, *codes: int) -> None:
        self.clock = Clock()
        self.sender: Any = FakeSender()
        self.sender.codes = list(codes)
        self.received: list[tuple[str, int]] = []
        self.results: list[Any] = []
        client = ApiClient(
            servers=['one', 'two'],
            token='',
            timeout_seconds=5,
            sender=self.sender,
            clock=self.clock,
        )
        watcher = Watcher(client, 'jobs', WatchReader(), self._record_event)
        watcher.start().addBoth(self.results.append)

    def deliver(self, *lines: bytes) -> None:
        self.sender.responses[-1].body.dataReceived(b''.join(lines))

    def _record_event(self, event: dict[str, Any]) -> None:
        self.received.append((event['type'], event['revision']))


def test_watch_resumes_after_the_last_revision() -> None:
    harness = WatcherHarness()
    harness.deliver(
        encode_event('snapshot', 4),
        encode_event('put', 6),
        encode_event('put', 9)[:20],
    )
    harness.sender.responses[-1].abortConnection()
    harness.clock.advance(1)
    harness.deliver(
        encode_event('put', 9),
        encode_event('heartbeat', 12),
        encode_event('put', 13),
    )
    assert harness.sender.paths == [
        '/v1/jobs?watch=1&since=-1',
        '/v1/jobs?watch=1&since=6',
    ]
    assert harness.received == [
        ('snapshot', 4),
        ('put', 6),
        ('put', 9),
        ('put', 13),
    ]


def test_silent_connection_is_replaced() -> None:
    harness = WatcherHarness()
    for _ in range(10):
        harness.deliver(encode_event('heartbeat', 2))
        harness.clock.advance(1)
    assert not harness.sender.responses[0].aborted
    harness.clock.pump([0.5] * 8)
    assert harness.sender.responses[0].aborted
    assert harness.sender.paths[-1].endswith('since=2')


def test_events_of_a_lagging_member_are_not_repeated() -> None:
    harness = WatcherHarness()
    harness.deliver(encode_event('snapshot', 8))
    harness.sender.responses[-1].abortConnection()
    harness.clock.advance(1)
    harness.deliver(
        encode_event('snapshot', 5),
        encode_event('put', 7),
        encode_event('put', 9),
    )
    assert harness.received == [('snapshot', 8), ('put', 9)]


def test_incomplete_snapshot_is_requested_again() -> None:
    harness = WatcherHarness()
    part = json.loads(encode_event('snapshot', 8))
    part.update(part=0, complete=False)
    harness.deliver(json.dumps(part).encode() + b'\n')
    harness.sender.responses[-1].abortConnection()
    harness.clock.advance(1)
    assert harness.sender.paths[-1].endswith('since=-1')


def test_unavailable_servers_are_retried() -> None:
    harness = WatcherHarness(0, 503, 200)
    harness.clock.pump([0.5] * 4)
    harness.deliver(encode_event('snapshot', 1))
    assert harness.received == [('snapshot', 1)]
    assert not harness.results


def test_refused_watch_fails() -> None:
    harness = WatcherHarness(401)
    assert harness.results[0].value.status == 401
