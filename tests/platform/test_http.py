"""Callers', operators' and workers' HTTP, byte for byte."""

import json
from typing import Any

import pytest
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.web.server import Site

from wasabiturn.connection.calls import CallError
from wasabiturn.messages.batch import (
    DataCentreMark,
    JobAnswer,
    JobCall,
    PutRouting,
    Routing,
    RoutingAnswer,
)
from wasabiturn.messages.kinds import (
    FailureCode,
    JobAction,
    JobOutcome,
    JobState,
    Method,
)
from wasabiturn.messages.link import Nothing
from wasabiturn.platform.announcements import AnnouncementDesk
from wasabiturn.platform.callers import CallerDesk
from wasabiturn.platform.http_server import JsonResource
from wasabiturn.platform.operators import OperatorDesk

JOB = '/queue/5c0e7a21d94b36f8'
BODY = json.dumps({'spec': 'x', 'steps': [{'count': 1}]}).encode()
CONFIGURATION = json.dumps(
    {
        'version': 7,
        'routes': [],
        'services': [],
        'limits': {},
    },
).encode()


class FakeCalls:
    """Calls to a leader that answers, or not, as the test wants."""

    def __init__(self, answer: Any) -> None:
        self.answer = answer
        self.sent: list[tuple[Method, Any]] = []
        self.timeouts: list[float] = []

    def call(self, method: Method, message: Any, *rest: Any) -> Deferred[Any]:
        self.sent.append((method, message))
        self.timeouts.append(rest[-1])
        if isinstance(self.answer, Exception):
            return fail(self.answer)
        return succeed(self.answer)


def send(
    handler: Any,
    method: str,
    path: str,
    body: bytes = b'',
    closing: bool = False,
) -> tuple[int, dict[str, str], bytes]:
    """Send one request; return status, headers and body of the answer."""
    resource = JsonResource(handler)
    resource.is_closing = closing
    site = Site(resource, reactor=Clock())
    protocol = site.buildProtocol(None)
    transport = StringTransport()
    protocol.makeConnection(transport)
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: a.example:80\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    protocol.dataReceived(head.encode() + body)
    raw_head, _, answer = transport.value().partition(b'\r\n\r\n')
    lines = raw_head.decode().split('\r\n')
    headers = {
        name.lower(): text
        for name, _, text in (line.partition(': ') for line in lines[1:])
    }
    protocol.connectionLost(None)
    return int(lines[0].split()[1]), headers, answer


def ask(answer: Any, method: str, path: str, body: bytes = b'') -> Any:
    calls = FakeCalls(answer)
    status, headers, content = send(
        CallerDesk(calls, lambda: True).handle,  # type: ignore[arg-type]
        method,
        path,
        body,
    )
    return calls, status, headers, content


def test_a_job_is_handed_to_the_leader() -> None:
    calls, status, _, _ = ask(JobAnswer(), 'POST', JOB, BODY)
    ((method, call),) = calls.sent
    assert (status, method, call.action) == (200, Method.job, JobAction.submit)
    assert (call.host, call.path) == ('a.example', JOB)


@pytest.mark.parametrize(
    ('answer', 'status'),
    [
        (JobAnswer(outcome=JobOutcome.no_queue), 404),
        (JobAnswer(outcome=JobOutcome.no_job), 410),
        (JobAnswer(outcome=JobOutcome.busy, retry_after_ms=2500), 429),
        (JobAnswer(outcome=JobOutcome.not_configured), 503),
        (CallError(FailureCode.unavailable, 'no leader'), 503),
        (CallError(FailureCode.outcome_unknown, 'no answer'), 504),
        (CallError(FailureCode.timeout, 'no answer'), 504),
        (RuntimeError('a fault of ours'), 500),
    ],
)
def test_what_the_leader_says_is_what_the_caller_hears(
    answer: Any,
    status: int,
) -> None:
    _, found, headers, _ = ask(answer, 'POST', JOB, BODY)
    assert found == status
    assert ('retry-after' in headers) is (status in {429, 503})


@pytest.mark.parametrize(
    'code', [FailureCode.timeout, FailureCode.outcome_unknown]
)
def test_a_read_that_no_leader_answers_may_be_sent_again(
    code: FailureCode,
) -> None:
    error = CallError(code, 'no answer')
    _, status, headers, _ = ask(error, 'GET', JOB)
    assert status == 503
    assert headers['retry-after'] == '1'


@pytest.mark.parametrize(('in_touch', 'most'), [(True, 1.2), (False, 0.3)])
def test_a_caller_does_not_wait_long_for_a_leader(
    in_touch: bool,
    most: float,
) -> None:
    calls = FakeCalls(JobAnswer())
    desk = CallerDesk(calls, lambda: in_touch)  # type: ignore[arg-type]
    send(desk.handle, 'POST', JOB, BODY)
    assert calls.timeouts == [most]


def test_the_time_to_come_back_is_rounded_up() -> None:
    answer = JobAnswer(outcome=JobOutcome.busy, retry_after_ms=2500)
    _, _, headers, _ = ask(answer, 'POST', JOB, BODY)
    assert headers['retry-after'] == '3'


def test_a_state_and_a_count_are_read() -> None:
    answer = JobAnswer(state=JobState.running, pending=12)
    assert ask(answer, 'GET', JOB)[3] == b'{"state":"running"}'
    calls, _, _, content = ask(answer, 'GET', '/queue/')
    assert content == b'{"pending":12}'
    assert calls.sent[0][1].action is JobAction.count


@pytest.mark.parametrize(
    ('method', 'path', 'body'),
    [
        ('POST', JOB, b'{'),
        ('POST', '/queue/short', BODY),
        ('DELETE', '/queue/', b''),
        ('PATCH', JOB, BODY),
    ],
)
def test_what_cannot_be_read_never_reaches_the_leader(
    method: str,
    path: str,
    body: bytes,
) -> None:
    calls, status, _, _ = ask(JobAnswer(), method, path, body)
    assert (status, calls.sent) == (400, [])


def test_a_server_that_stops_closes_connections_after_their_answer() -> None:
    calls = FakeCalls(JobAnswer())
    desk = CallerDesk(calls, lambda: True)  # type: ignore[arg-type]
    status, headers, _ = send(desk.handle, 'GET', JOB, closing=True)
    assert (status, headers['connection']) == (200, 'close')


def operate(answer: Any, method: str, path: str, body: bytes = b'') -> Any:
    calls = FakeCalls(answer)
    desk = OperatorDesk(calls, ('dc-a',))  # type: ignore[arg-type]
    status, _, content = send(desk.handle, method, path, body)
    return calls, status, content


def test_orders_of_operators_reach_the_leader() -> None:
    calls, status, _ = operate(
        Nothing(),
        'POST',
        '/api/Config.Put',
        CONFIGURATION,
    )
    assert status == 200
    assert isinstance(calls.sent[0][1], PutRouting)
    for path, out in (('Begin', True), ('Finish', False)):
        calls, status, _ = operate(Nothing(), 'POST', f'/api/Drain.{path}/dc-a')
        mark = DataCentreMark(data_centre='dc-a', out=out)
        assert (status, calls.sent[0][1]) == (200, mark)


@pytest.mark.parametrize(
    ('path', 'body', 'status'),
    [
        ('/api/Config.Put', b'{', 400),
        ('/api/Drain.Begin/nowhere', b'', 404),
        ('/api/wave-start', b'{}', 404),
    ],
)
def test_wrong_orders_are_refused(path: str, body: bytes, status: int) -> None:
    calls, found, _ = operate(Nothing(), 'POST', path, body)
    assert (found, calls.sent) == (status, [])


def test_the_document_is_read_back_as_it_was_written() -> None:
    routing = Routing(version=7, document=CONFIGURATION)
    answer = RoutingAnswer(routing=routing)
    assert operate(answer, 'GET', '/api/Config.Get')[2] == CONFIGURATION
    assert operate(RoutingAnswer(), 'GET', '/api/Config.Get')[1] == 503


class FakeKeeper:
    """Remembers what was announced."""

    def __init__(self) -> None:
        self.announced: list[Any] = []

    def announce(self, identity: Any) -> None:
        self.announced.append(identity)


def test_an_announcement_reaches_the_keeper_of_the_runs() -> None:
    keeper = FakeKeeper()
    desk = AnnouncementDesk(keeper, 'dc-a')  # type: ignore[arg-type]
    body = json.dumps(
        {'service': 's', 'state': 'ready', 'capacity': {}, 'born': 5, 'seq': 1},
    ).encode()
    path = '/api/Instances.Heartbeat/i-1'
    assert send(desk.handle, 'POST', path, body)[0] == 200
    assert keeper.announced[0].life == ('i-1', 5)
    assert send(desk.handle, 'POST', path, b'\xff')[0] == 400
    assert send(desk.handle, 'POST', '/api/Instances.Deregister/i-1')[0] == 200
    assert len(keeper.announced) == 1


def test_the_call_of_a_job_names_who_asks() -> None:
    calls, _, _, _ = ask(JobAnswer(), 'GET', JOB)
    call = calls.sent[0][1]
    assert isinstance(call, JobCall)
    assert call.request_id == '5c0e7a21d94b36f8'
