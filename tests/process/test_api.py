"""The operators' API: conditional writes, resends, refusals, tokens."""

from pathlib import Path
from typing import Any

import pytest

from tests.process.group import Group
from tests.process.network import Network
from tests.process.operators import OperatorClient
from tests.process.test_session import create_session
from tests.version.resources import configuration, move, put
from wasabiturn.exceptions import SettingsError
from wasabiturn.messages.kinds import TaskState
from wasabiturn.process.control.tokens import read_tokens

POLICY = '/v1/configurations/policy'


def create_operators(group: Group) -> OperatorClient:
    return OperatorClient(group, create_session(group))


def settings(value: str) -> dict[str, Any]:
    return {'spec': {'settings': {'value': value}}}


def test_write_is_read_at_its_revision() -> None:
    operators = create_operators(Group(Network()))
    written = operators.send('PUT', POLICY, settings('a'))
    assert (written.status, written.headers['etag']) == (200, '"1"')
    assert operators.send('GET', POLICY).content == written.content
    listed = operators.send('GET', '/v1/configurations').content
    assert listed == {
        'revision': 1,
        'items': [written.content],
        'next': '',
    }
    assert operators.send('DELETE', POLICY).status == 200
    assert operators.send('GET', POLICY).status == 404


def test_loser_of_a_race_gets_the_present_resource() -> None:
    operators = create_operators(Group(Network()))
    operators.send('PUT', POLICY, settings('a'))
    winner = operators.send('PUT', POLICY, settings('b'), If_Match='"1"')
    loser = operators.send('PUT', POLICY, settings('c'), If_Match='"1"')
    assert (winner.status, loser.status) == (200, 409)
    assert loser.content['resource'] == winner.content


@pytest.mark.parametrize('leader', [0, 1])
def test_resend_after_a_lost_answer_gets_the_first_answer(leader: int) -> None:
    group = Group(Network())
    operators = create_operators(group)
    group.loses_answers = True
    lost = operators.send(
        'PUT', POLICY, settings('a'), If_Match='0', Request_Id='r-1'
    )
    assert lost.status == 503
    assert lost.headers['wasabiturn-outcome'] == 'unknown'
    group.loses_answers = False
    group.leader = group.replicas[leader]
    resent = operators.send(
        'PUT', POLICY, settings('a'), If_Match='0', Request_Id='r-1'
    )
    assert (resent.status, resent.content['revision']) == (200, 1)


def test_without_a_leader_a_write_certainly_did_not_run() -> None:
    group = Group(Network())
    operators = create_operators(group)
    group.leader = None
    refused = operators.send('PUT', POLICY, settings('a'))
    assert refused.status == 503
    assert refused.headers['wasabiturn-outcome'] == 'not-run'
    assert refused.headers['retry-after'] == '1'
    assert operators.send('GET', POLICY).status == 503
    assert operators.send('GET', '/health').status == 200
    assert operators.send('GET', '/ready').status == 503


@pytest.mark.parametrize(
    ('method', 'path', 'content', 'status', 'field'),
    [
        ('PUT', POLICY, b'{"spec": {', 400, 'body'),
        ('PUT', POLICY, {'spek': 1}, 422, 'spek'),
        ('PUT', '/v1/configurations/A.b', {}, 422, 'name'),
        ('PUT', '/v1/workers/w-1', {}, 405, 'method'),
        ('PUT', '/v1/tasks/t.0', {}, 405, 'method'),
        ('DELETE', '/v1/jobs', None, 405, 'method'),
        ('GET', '/v1/things', None, 404, ''),
        ('GET', '/v1/jobs/a/b', None, 404, ''),
        ('PUT', '/v1/services/desk', {'team': 'x'}, 422, 'team'),
        ('PUT', '/v1/tasks/t.0/settle', {'state': 'x'}, 422, 'state'),
        ('PUT', POLICY, b'x' * 1_000_001, 413, 'body'),
    ],
)
def test_refusal_names_the_field(
    method: str,
    path: str,
    content: Any,
    status: int,
    field: str,
) -> None:
    operators = create_operators(Group(Network()))
    refused = operators.send(method, path, content)
    assert refused.status == status
    assert refused.content['error']['field'] == field


def test_revision_of_a_write_is_checked() -> None:
    operators = create_operators(Group(Network()))
    refused = operators.send('PUT', POLICY, settings('a'), If_Match='x')
    assert refused.status == 400


def test_long_list_comes_in_pages() -> None:
    group = Group(Network())
    operators = create_operators(group)
    for number in range(1500):
        group.commit(put(configuration('a', name=f'c{number:04}')))
    first = operators.send('GET', '/v1/configurations').content
    assert (len(first['items']), first['next']) == (1000, 'c0999')
    path = f'/v1/configurations?after={first["next"]}'
    second = operators.send('GET', path).content
    assert (len(second['items']), second['next']) == (500, '')


def test_member_writes_for_its_own_team(tmp_path: Path) -> None:
    token_file = tmp_path / 'tokens.ini'
    token_file.write_text(TOKENS)
    group = Group(Network(), tokens=read_tokens(token_file))
    operators = create_operators(group)
    boss = 'Bearer t-boss'
    team = {'spec': {'quota': {'cores': 1}}}
    operators.send('PUT', '/v1/teams/other', team, Authorization=boss)
    omar = 'Bearer t-omar'
    written = operators.send(
        'PUT', '/v1/jobs/plots', {'spec': {}}, Authorization=omar
    )
    assert written.content['team'] == 'other'


def test_status_shows_the_member_and_the_group() -> None:
    operators = create_operators(Group(Network()))
    operators.send('PUT', POLICY, settings('a'))
    shown = operators.send('GET', '/v1/status').content
    assert shown['leader'] == 'control-1'
    assert shown['revision'] == 1
    assert len(shown['members']) == 3
    assert operators.send('PUT', '/v1/status').status == 405


def test_operator_settles_an_unknown_outcome() -> None:
    group = Group(Network())
    operators = create_operators(group)
    operators.send('PUT', '/v1/jobs/plots', {'spec': {'tasks': 1}})
    path = '/v1/tasks/plots.0/settle'
    finished = {'state': 'finished'}
    assert operators.send('PUT', path, finished).status == 409
    state = group.replicas[0].state
    group.commit(move(state, 'plots.0', TaskState.outcome_unknown))
    settled = operators.send('PUT', path, finished, Request_Id='r-1')
    assert settled.content['spec']['state'] == 'finished'
    again = operators.send('PUT', path, finished, Request_Id='r-1')
    assert again.content == settled.content


TOKENS = """
[ana]
token = t-ana
role = member
team = default
[omar]
token = t-omar
role = member
team = other
[rita]
token = t-rita
role = reader
[boss]
token = t-boss
role = admin
"""


@pytest.mark.parametrize(
    ('token', 'path', 'status'),
    [
        ('', '/v1/services/desk', 401),
        ('t-nobody', '/v1/services/desk', 401),
        ('t-rita', '/v1/services/desk', 403),
        ('t-omar', '/v1/services/desk', 403),
        ('t-ana', '/v1/services/desk', 200),
        ('t-ana', '/v1/data-centres/dc-a', 403),
        ('t-boss', '/v1/data-centres/dc-a', 200),
    ],
)
def test_token_decides_what_may_be_written(
    token: str,
    path: str,
    status: int,
    tmp_path: Path,
) -> None:
    token_file = tmp_path / 'tokens.ini'
    token_file.write_text(TOKENS)
    group = Group(Network(), tokens=read_tokens(token_file))
    operators = create_operators(group)
    operators.send(
        'PUT', '/v1/services/desk', {}, Authorization='Bearer t-boss'
    )
    answer = operators.send(
        'PUT',
        path,
        {'spec': {'replicas': 2}} if 'services' in path else {},
        Authorization=f'Bearer {token}',
    )
    assert answer.status == status
    assert token == '' or token.encode() not in answer.body


@pytest.mark.parametrize(
    'text',
    [
        '[a]\nrole = admin',
        '[a]\ntoken = secret\nrole = king',
        '[a]\ntoken = secret\nrole = member',
        'token = secret',
    ],
)
def test_error_in_the_token_file_never_quotes_a_token(
    text: str,
    tmp_path: Path,
) -> None:
    token_file = tmp_path / 'tokens.ini'
    token_file.write_text(text)
    with pytest.raises(SettingsError) as caught:
        read_tokens(token_file)
    assert str(token_file) in str(caught.value)
    assert 'secret' not in str(caught.value)
