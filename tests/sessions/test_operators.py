"""A whole day of operators, as a golden file."""

from typing import Any

from syrupy.assertion import SnapshotAssertion

from tests.process.group import Group
from tests.process.network import Network
from tests.process.operators import OperatorClient, parse_response
from tests.process.test_session import create_session
from tests.version.resources import move
from wasabiturn.messages.kinds import TaskState

SERVICE = {'spec': {'replicas': 2, 'size': {'cores': 2, 'memory_mb': 512}}}
JOB = {'team': 'print', 'spec': {'tasks': 2, 'size': {'cores': 1}}}
TEAM = {'spec': {'quota': {'cores': 8, 'memory_mb': 4096}}}


class Recording:
    """Exchanges with the API, in order."""

    def __init__(self, operators: OperatorClient) -> None:
        self.operators = operators
        self.exchanges: list[Any] = []

    def note(self, text: str) -> None:
        self.exchanges.append(text)

    def send(self, method: str, path: str, content: Any = None, **head: str):
        answer = self.operators.send(method, path, content, **head)
        self.exchanges.append(
            {
                'request': f'{method} {path}',
                'given': head,
                'status': answer.status,
                'headers': answer.headers,
                'content': answer.content,
            },
        )


def test_operators_through_a_change_of_leader(
    snapshot: SnapshotAssertion,
) -> None:
    group = Group(Network())
    recording = Recording(OperatorClient(group, create_session(group)))
    watch = recording.operators.open('GET', '/v1/tasks?watch=1')
    recording.send('PUT', '/v1/teams/print', TEAM)
    recording.send('PUT', '/v1/services/desk', SERVICE, If_Match='0')
    recording.send('PUT', '/v1/services/desk', SERVICE, If_Match='0')
    recording.send('PUT', '/v1/jobs/plots', JOB, Request_Id='r-1')
    recording.note('the leader is lost; the next one has applied the same')
    group.leader = group.replicas[1]
    group.replicas[0].cut_off = True
    recording.send('PUT', '/v1/jobs/plots', JOB, Request_Id='r-1')
    state = group.replicas[1].state
    group.commit(move(state, 'plots.0', TaskState.running))
    group.commit(move(state, 'plots.1', TaskState.outcome_unknown))
    settled = {'state': 'failed'}
    recording.send('PUT', '/v1/tasks/plots.1/settle', settled)
    cancelled = {**JOB, 'spec': {**JOB['spec'], 'cancelled': True}}
    recording.send('PUT', '/v1/jobs/plots', cancelled, If_Match='"5"')
    recording.send('GET', '/v1/tasks')
    recording.send('PUT', '/v1/data-centres/dc-a', {'spec': {'out': True}})
    recording.send('DELETE', '/v1/teams/print')
    recording.note('no leader is left')
    group.leader = None
    recording.send('DELETE', '/v1/services/desk')
    lines = parse_response(watch).lines
    watched = [line for line in lines if line['type'] != 'heartbeat']
    assert {'exchanges': recording.exchanges, 'watch': watched} == snapshot
