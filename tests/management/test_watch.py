"""The command that watches: silence, resumption, no repeat."""

import json
from typing import Any

from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock

from wasabiturn.management.http_client import ApiClient, HttpRequest
from wasabiturn.management.watch import Follower
from wasabiturn.management.watch_reader import WatchReader


def line(kind: str, revision: int) -> bytes:
    resource = {'name': 'a', 'revision': revision, 'spec': {}}
    event: dict[str, Any] = {'type': kind, 'revision': revision}
    if kind == 'snapshot':
        event['items'] = [resource]
    elif kind != 'heartbeat':
        event['resource'] = resource
    return json.dumps(event).encode() + b'\n'


class Response:
    """Response whose body the test delivers."""

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


class WatchSender:
    def __init__(self) -> None:
        self.responses: list[Response] = []
        self.paths: list[str] = []
        self.codes: list[int] = []

    def open(self, server: str, request: HttpRequest) -> Deferred[Any]:
        self.paths.append(request.path)
        code = self.codes.pop(0) if self.codes else 200
        if code == 0:
            return fail(OSError('refused'))
        self.responses.append(Response(code))
        return succeed(self.responses[-1])


class Session:
    def __init__(self, *codes: int) -> None:
        self.clock = Clock()
        self.sender: Any = WatchSender()
        self.sender.codes = list(codes)
        self.shown: list[tuple[str, int]] = []
        self.ended: list[Any] = []
        client = ApiClient(
            servers=['one', 'two'],
            token='',
            timeout_seconds=5,
            sender=self.sender,
            clock=self.clock,
        )
        follower = Follower(client, 'jobs', WatchReader(), self._show)
        follower.start().addBoth(self.ended.append)

    def deliver(self, *lines: bytes) -> None:
        self.sender.responses[-1].body.dataReceived(b''.join(lines))

    def _show(self, event: dict[str, Any]) -> None:
        self.shown.append((event['type'], event['revision']))


def test_lost_watch_goes_on_after_the_last_revision() -> None:
    session = Session()
    session.deliver(line('snapshot', 4), line('put', 6), line('put', 9)[:20])
    session.sender.responses[-1].abortConnection()
    session.clock.advance(1)
    session.deliver(line('put', 9), line('heartbeat', 12), line('put', 13))
    assert session.sender.paths == [
        '/v1/jobs?watch=1&since=-1',
        '/v1/jobs?watch=1&since=6',
    ]
    assert session.shown == [
        ('snapshot', 4),
        ('put', 6),
        ('put', 9),
        ('put', 13),
    ]


def test_silent_watch_is_replaced() -> None:
    session = Session()
    for _ in range(10):
        session.deliver(line('heartbeat', 2))
        session.clock.advance(1)
    assert not session.sender.responses[0].aborted
    session.clock.pump([0.5] * 8)
    assert session.sender.responses[0].aborted
    assert session.sender.paths[-1].endswith('since=2')


def test_member_that_lags_brings_nothing_back() -> None:
    session = Session()
    session.deliver(line('snapshot', 8))
    session.sender.responses[-1].abortConnection()
    session.clock.advance(1)
    session.deliver(line('snapshot', 5), line('put', 7), line('put', 9))
    assert session.shown == [('snapshot', 8), ('put', 9)]


def test_snapshot_that_broke_off_is_asked_for_again() -> None:
    session = Session()
    part = json.loads(line('snapshot', 8))
    part.update(part=0, complete=False)
    session.deliver(json.dumps(part).encode() + b'\n')
    session.sender.responses[-1].abortConnection()
    session.clock.advance(1)
    assert session.sender.paths[-1].endswith('since=-1')


def test_unavailable_servers_are_tried_again() -> None:
    session = Session(0, 503, 200)
    session.clock.pump([0.5] * 4)
    session.deliver(line('snapshot', 1))
    assert session.shown == [('snapshot', 1)]
    assert not session.ended


def test_refused_watch_ends() -> None:
    session = Session(401)
    assert session.ended[0].value.status == 401
