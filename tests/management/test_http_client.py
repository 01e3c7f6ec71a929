"""Tests of the API client: server rotation, retries and exit codes."""

from typing import Any

import pytest
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock

from wasabiturn.management.apply import parse_resources
from wasabiturn.management.exit_codes import ExitCode
from wasabiturn.management.http_client import (
    ApiClient,
    ApiError,
    HttpRequest,
    HttpResponse,
)
from wasabiturn.management.http_sender import NoResponseError
from wasabiturn.management.pages import read_pages
from wasabiturn.management.spec_updater import SpecUpdater

OK = HttpResponse(200, '', {'name': 'a', 'revision': 3})
UNAVAILABLE = HttpResponse(503, 'not-run', {'error': {'message': 'no leader'}})
OUTCOME_UNKNOWN = HttpResponse(503, 'unknown', {'error': {'message': 'lost'}})
CONFLICT = HttpResponse(409, '', {'error': {'message': 'revision is 4'}})
NOT_FOUND = HttpResponse(
    404, '', {'error': {'message': 'none', 'field': 'name'}}
)
CONNECTION_LOST = NoResponseError('closed', never_connected=False)
CONNECTION_REFUSED = NoResponseError('refused', never_connected=True)


class ScriptedSender:
    """Returns the scripted responses in order, then repeats the last one."""

    def __init__(self, *script: HttpResponse | NoResponseError) -> None:
        self.script = list(script)
        self.sent: list[tuple[str, HttpRequest]] = []

    def send(self, server: str, request: HttpRequest) -> Deferred[HttpResponse]:
        self.sent.append((server, request))
        step = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        if isinstance(step, NoResponseError):
            return fail(step)
        return succeed(step)


def create_client(sender: ScriptedSender, clock: Clock) -> ApiClient:
    return ApiClient(
        servers=['one', 'two'],
        token='t-secret',
        timeout_seconds=5,
        sender=sender,
        clock=clock,
    )


def wait_for_result(clock: Clock, call: Deferred[Any]) -> Any:
    results: list[Any] = []
    call.addBoth(results.append)
    clock.pump([0.1] * 100)
    return getattr(results[0], 'value', results[0])


def test_write_is_resent_with_its_request_id() -> None:
    clock = Clock()
    sender = ScriptedSender(CONNECTION_LOST, UNAVAILABLE, OK)
    client = create_client(sender, clock)
    assert (
        wait_for_result(clock, client.write('PUT', '/v1/x/a', {}, 2))
        == OK.content
    )
    servers = [server for server, _ in sender.sent]
    assert servers == ['one', 'two', 'one']
    ids = {request.headers['Request-Id'] for _, request in sender.sent}
    assert len(ids) == 1
    assert sender.sent[0][1].headers['If-Match'] == '"2"'


@pytest.mark.parametrize(
    ('script', 'exit_code'),
    [
        ([CONNECTION_REFUSED], ExitCode.not_run),
        ([UNAVAILABLE], ExitCode.not_run),
        ([CONNECTION_LOST], ExitCode.unknown),
        ([OUTCOME_UNKNOWN, UNAVAILABLE], ExitCode.unknown),
        ([CONFLICT], ExitCode.refused),
    ],
)
def test_exit_code_tells_whether_the_write_may_have_run(
    script: list[Any],
    exit_code: ExitCode,
) -> None:
    clock = Clock()
    client = create_client(ScriptedSender(*script), clock)
    error = wait_for_result(clock, client.write('PUT', '/v1/x/a', {}))
    assert isinstance(error, ApiError)
    assert error.exit_code is exit_code


def test_update_restarts_after_a_revision_conflict() -> None:
    clock = Clock()
    current = HttpResponse(200, '', {'revision': 4, 'spec': {'region': 'r'}})
    sender = ScriptedSender(current, CONFLICT, current, OK)
    client = create_client(sender, clock)
    updater = SpecUpdater(client, '/v1/x/a', {'out': True}, create_missing=True)
    assert wait_for_result(clock, updater.run()) == OK.content
    assert b'"region": "r"' in sender.sent[-1][1].body


@pytest.mark.parametrize(('create_missing', 'writes'), [(True, 1), (False, 0)])
def test_update_of_a_missing_resource(
    create_missing: bool, writes: int
) -> None:
    clock = Clock()
    sender = ScriptedSender(NOT_FOUND, OK)
    client = create_client(sender, clock)
    updater = SpecUpdater(
        client, '/v1/x/a', {'out': True}, create_missing=create_missing
    )
    result = wait_for_result(clock, updater.run())
    assert isinstance(result, ApiError) is not create_missing
    assert len(sender.sent) == 1 + writes


def test_repr_does_not_show_the_token() -> None:
    sender = ScriptedSender(OK)
    client = create_client(sender, Clock())
    client.read('/v1/jobs')
    _, request = sender.sent[0]
    assert request.headers['Authorization'] == 'Bearer t-secret'
    assert 't-secret' not in f'{client!r} {request!r}'


def test_parse_resources_accepts_output_of_get() -> None:
    lines = '{"kind":"jobs","name":"a"}\n{"kind":"jobs","name":"b"}\n'
    assert [each['name'] for each in parse_resources(lines)] == ['a', 'b']
    listed = '{"items":[{"kind":"jobs","name":"a"}]}'
    assert len(parse_resources(listed)) == 1
    with pytest.raises(ValueError, match='resource 1'):
        parse_resources('[{"kind":"jobs"}]')


def test_all_pages_are_read() -> None:
    clock = Clock()
    sender = ScriptedSender(
        HttpResponse(200, '', {'items': [1, 2], 'next': 'b'}),
        HttpResponse(200, '', {'items': [3], 'next': ''}),
    )
    client = create_client(sender, clock)
    assert wait_for_result(clock, read_pages(client, '/v1/jobs')) == [1, 2, 3]
    paths = [request.path for _, request in sender.sent]
    assert paths == ['/v1/jobs', '/v1/jobs?after=b']
