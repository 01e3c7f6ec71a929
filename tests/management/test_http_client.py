"""The commands' client: servers in turn, resends, what is certain."""

from typing import Any

import pytest
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock

from wasabiturn.management.apply import parse_resources
from wasabiturn.management.exit_codes import ExitCode
from wasabiturn.management.http_client import (
    ApiClient,
    ApiError,
    HttpAnswer,
    HttpRequest,
)
from wasabiturn.management.http_sender import LostAnswerError
from wasabiturn.management.pages import read_pages
from wasabiturn.management.spec_updater import Edit

DONE = HttpAnswer(200, '', {'name': 'a', 'revision': 3})
BUSY = HttpAnswer(503, 'not-run', {'error': {'message': 'no leader'}})
OPEN = HttpAnswer(503, 'unknown', {'error': {'message': 'lost'}})
CONFLICT = HttpAnswer(409, '', {'error': {'message': 'revision is 4'}})
MISSING = HttpAnswer(404, '', {'error': {'message': 'none', 'field': 'name'}})
LOST = LostAnswerError('closed', never_connected=False)
DOWN = LostAnswerError('refused', never_connected=True)


class ScriptedSender:
    """Gives the next answer of a script, and the last one again and again."""

    def __init__(self, *script: HttpAnswer | LostAnswerError) -> None:
        self.script = list(script)
        self.sent: list[tuple[str, HttpRequest]] = []

    def send(self, server: str, request: HttpRequest) -> Deferred[HttpAnswer]:
        self.sent.append((server, request))
        step = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        if isinstance(step, LostAnswerError):
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


def settle(clock: Clock, call: Deferred[Any]) -> Any:
    results: list[Any] = []
    call.addBoth(results.append)
    clock.pump([0.1] * 100)
    return getattr(results[0], 'value', results[0])


def test_write_is_resent_with_its_request_id() -> None:
    clock = Clock()
    sender = ScriptedSender(LOST, BUSY, DONE)
    client = create_client(sender, clock)
    assert settle(clock, client.write('PUT', '/v1/x/a', {}, 2)) == DONE.content
    servers = [server for server, _ in sender.sent]
    assert servers == ['one', 'two', 'one']
    ids = {request.headers['Request-Id'] for _, request in sender.sent}
    assert len(ids) == 1
    assert sender.sent[0][1].headers['If-Match'] == '"2"'


@pytest.mark.parametrize(
    ('script', 'exit_code'),
    [
        ([DOWN], ExitCode.not_run),
        ([BUSY], ExitCode.not_run),
        ([LOST], ExitCode.unknown),
        ([OPEN, BUSY], ExitCode.unknown),
        ([CONFLICT], ExitCode.refused),
    ],
)
def test_exit_code_says_what_is_certain(
    script: list[Any],
    exit_code: ExitCode,
) -> None:
    clock = Clock()
    client = create_client(ScriptedSender(*script), clock)
    error = settle(clock, client.write('PUT', '/v1/x/a', {}))
    assert isinstance(error, ApiError)
    assert error.exit_code is exit_code


def test_edit_starts_over_when_another_writer_was_faster() -> None:
    clock = Clock()
    found = HttpAnswer(200, '', {'revision': 4, 'spec': {'region': 'r'}})
    sender = ScriptedSender(found, CONFLICT, found, DONE)
    client = create_client(sender, clock)
    edit = Edit(client, '/v1/x/a', {'out': True}, creates=True)
    assert settle(clock, edit.run()) == DONE.content
    assert b'"region": "r"' in sender.sent[-1][1].body


@pytest.mark.parametrize(('creates', 'writes'), [(True, 1), (False, 0)])
def test_edit_of_a_missing_resource(creates: bool, writes: int) -> None:
    clock = Clock()
    sender = ScriptedSender(MISSING, DONE)
    client = create_client(sender, clock)
    edit = Edit(client, '/v1/x/a', {'out': True}, creates=creates)
    result = settle(clock, edit.run())
    assert isinstance(result, ApiError) is not creates
    assert len(sender.sent) == 1 + writes


def test_token_is_in_no_text_of_a_request() -> None:
    sender = ScriptedSender(DONE)
    client = create_client(sender, Clock())
    client.read('/v1/jobs')
    _, request = sender.sent[0]
    assert request.headers['Authorization'] == 'Bearer t-secret'
    assert 't-secret' not in f'{client!r} {request!r}'


def test_file_may_hold_what_get_printed() -> None:
    lines = '{"kind":"jobs","name":"a"}\n{"kind":"jobs","name":"b"}\n'
    assert [each['name'] for each in parse_resources(lines)] == ['a', 'b']
    listed = '{"items":[{"kind":"jobs","name":"a"}]}'
    assert len(parse_resources(listed)) == 1
    with pytest.raises(ValueError, match='resource 1'):
        parse_resources('[{"kind":"jobs"}]')


def test_pages_are_read_to_the_end() -> None:
    clock = Clock()
    sender = ScriptedSender(
        HttpAnswer(200, '', {'items': [1, 2], 'next': 'b'}),
        HttpAnswer(200, '', {'items': [3], 'next': ''}),
    )
    client = create_client(sender, clock)
    assert settle(clock, read_pages(client, '/v1/jobs')) == [1, 2, 3]
    paths = [request.path for _, request in sender.sent]
    assert paths == ['/v1/jobs', '/v1/jobs?after=b']
