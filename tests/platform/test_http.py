"""Raw HTTP requests of callers, operators and workers."""

import json
from typing import Any

import pytest
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from tests.platform.test_decoding import ANNOUNCEMENT
from wasabiturn.connection.calls import CallError
from wasabiturn.connection.http_messages import HttpRequest
from wasabiturn.connection.http_site import HttpSite
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
from wasabiturn.platform.announcements import AnnouncementHandler
from wasabiturn.platform.callers import CallerHandler
from wasabiturn.platform.http_server import JsonServer
from wasabiturn.platform.operators import OperatorHandler

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
    """Calls to a leader that return ``answer``, or fail with it."""

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
    """Send one request; return status, headers and body of the response."""
    clock = Clock()
    site = HttpSite(JsonServer(handler).handle, clock)
    site.is_closing = closing
    protocol = site.buildProtocol(None)
    transport = StringTransport()
    protocol.makeConnection(transport)
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: a.example:80\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    protocol.dataReceived(head.encode() + body)
    # Requests that change something wait for the end of the connection.
    clock.pump([0, 0])
    raw_head, _, answer = transport.value().partition(b'\r\n\r\n')
    lines = raw_head.decode().split('\r\n')
    headers = {
        name.lower(): text
        for name, _, text in (line.partition(': ') for line in lines[1:])
    }
    protocol.connectionLost(None)
    return int(lines[0].split()[1]), headers, answer


def send_as_caller(
    answer: Any, method: str, path: str, body: bytes = b''
) -> Any:
    calls = FakeCalls(answer)
    status, headers, content = send(
        CallerHandler(calls, lambda: True).handle,  # type: ignore[arg-type]
        method,
        path,
        body,
    )
    return calls, status, headers, content


def test_a_job_is_submitted_to_the_leader() -> None:
    calls, status, _, _ = send_as_caller(JobAnswer(), 'POST', JOB, BODY)
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
        (RuntimeError('internal error'), 500),
    ],
)
def test_the_leader_answer_sets_the_http_status(
    answer: Any,
    status: int,
) -> None:
    _, found, headers, _ = send_as_caller(answer, 'POST', JOB, BODY)
    assert found == status
    assert ('retry-after' in headers) is (status in {429, 503})


@pytest.mark.parametrize(
    'code', [FailureCode.timeout, FailureCode.outcome_unknown]
)
def test_an_unanswered_read_may_be_retried(
    code: FailureCode,
) -> None:
    error = CallError(code, 'no answer')
    _, status, headers, _ = send_as_caller(error, 'GET', JOB)
    assert status == 503
    assert headers['retry-after'] == '1'


@pytest.mark.parametrize(
    ('has_leader', 'timeout_seconds'), [(True, 1.2), (False, 0.3)]
)
def test_the_call_timeout_is_shorter_without_a_leader(
    has_leader: bool,
    timeout_seconds: float,
) -> None:
    calls = FakeCalls(JobAnswer())
    callers = CallerHandler(calls, lambda: has_leader)  # type: ignore[arg-type]
    send(callers.handle, 'POST', JOB, BODY)
    assert calls.timeouts == [timeout_seconds]


def test_retry_after_is_rounded_up() -> None:
    answer = JobAnswer(outcome=JobOutcome.busy, retry_after_ms=2500)
    _, _, headers, _ = send_as_caller(answer, 'POST', JOB, BODY)
    assert headers['retry-after'] == '3'


def test_job_state_and_pending_count_are_returned() -> None:
    answer = JobAnswer(state=JobState.running, pending=12)
    assert send_as_caller(answer, 'GET', JOB)[3] == b'{"state":"running"}'
    calls, _, _, content = send_as_caller(answer, 'GET', '/queue/')
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
def test_an_invalid_request_is_not_sent_to_the_leader(
    method: str,
    path: str,
    body: bytes,
) -> None:
    calls, status, _, _ = send_as_caller(JobAnswer(), method, path, body)
    assert (status, calls.sent) == (400, [])


def test_a_closing_server_closes_connections_after_the_response() -> None:
    calls = FakeCalls(JobAnswer())
    callers = CallerHandler(calls, lambda: True)  # type: ignore[arg-type]
    status, headers, _ = send(callers.handle, 'GET', JOB, closing=True)
    assert (status, headers['connection']) == (200, 'close')


def send_as_operator(
    answer: Any, method: str, path: str, body: bytes = b''
) -> Any:
    calls = FakeCalls(answer)
    operators = OperatorHandler(calls, ('dc-a',))  # type: ignore[arg-type]
    status, _, content = send(operators.handle, method, path, body)
    return calls, status, content


def test_operator_requests_are_sent_to_the_leader() -> None:
    calls, status, _ = send_as_operator(
        Nothing(),
        'POST',
        '/api/Config.Put',
        CONFIGURATION,
    )
    assert status == 200
    assert isinstance(calls.sent[0][1], PutRouting)
    for path, out in (('Begin', True), ('Finish', False)):
        calls, status, _ = send_as_operator(
            Nothing(), 'POST', f'/api/Drain.{path}/dc-a'
        )
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
def test_invalid_operator_requests_are_refused(
    path: str, body: bytes, status: int
) -> None:
    calls, found, _ = send_as_operator(Nothing(), 'POST', path, body)
    assert (found, calls.sent) == (status, [])


def test_the_document_is_read_back_as_it_was_written() -> None:
    routing = Routing(version=7, document=CONFIGURATION)
    answer = RoutingAnswer(routing=routing)
    assert (
        send_as_operator(answer, 'GET', '/api/Config.Get')[2] == CONFIGURATION
    )
    assert send_as_operator(RoutingAnswer(), 'GET', '/api/Config.Get')[1] == 503


class FakeRunReconciler:
    """Records the announcements."""

    def __init__(self) -> None:
        self.announced: list[Any] = []

    def announce(self, identity: Any) -> None:
        self.announced.append(identity)


def test_an_announcement_is_passed_to_the_run_manager() -> None:
    manager = FakeRunReconciler()
    agent = AnnouncementHandler(manager, 'dc-a')  # type: ignore[arg-type]
    path = '/api/Instances.Heartbeat/i-1'
    body = json.dumps(ANNOUNCEMENT | {'born': 5}).encode()
    assert send(agent.handle, 'POST', path, body)[0] == 200
    without_size = json.dumps(ANNOUNCEMENT | {'capacity': {}}).encode()
    assert send(agent.handle, 'POST', path, without_size)[0] == 400
    assert manager.announced[0].life == ('i-1', 5)
    assert send(agent.handle, 'POST', path, b'\xff')[0] == 400
    assert send(agent.handle, 'POST', '/api/Instances.Deregister/i-1')[0] == 200
    assert len(manager.announced) == 1


def test_malformed_announcement_of_a_known_life_is_not_passed_on() -> None:
    """Else its sequence would hide the worker's own announcements."""
    manager = FakeRunReconciler()
    agent = AnnouncementHandler(manager, 'dc-a')  # type: ignore[arg-type]
    path = '/api/Instances.Heartbeat/i-1'
    malformed = ANNOUNCEMENT | {'slots': 'ocho', 'seq': 1000}
    for name in ('addr', 'labels'):
        del malformed[name]
    body = json.dumps(malformed).encode()
    assert send(agent.handle, 'POST', path, body)[0] == 400
    assert not manager.announced


def test_a_job_call_has_the_request_id() -> None:
    calls, _, _, _ = send_as_caller(JobAnswer(), 'GET', JOB)
    call = calls.sent[0][1]
    assert isinstance(call, JobCall)
    assert call.request_id == '5c0e7a21d94b36f8'


@pytest.mark.parametrize('deadline_ms', ['²', '9' * 5000, '-1', 'x'])
def test_an_odd_deadline_does_not_make_a_request_fail(deadline_ms: str) -> None:
    calls = FakeCalls(JobAnswer())
    callers = CallerHandler(calls, lambda: True)  # type: ignore[arg-type]
    deadline = {'wasabiturn-deadline-ms': deadline_ms}
    callers.handle(HttpRequest('GET', JOB, {'host': 'a.example'} | deadline))
    assert len(calls.timeouts) == 1
