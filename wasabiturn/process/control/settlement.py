"""Decision of an operator on a task whose outcome is unknown."""

from http import HTTPStatus
from types import MappingProxyType

import attrs

from wasabiturn.messages.kinds import Kind, TaskState
from wasabiturn.messages.state import (
    Command,
    Resource,
    TaskTransition,
    UpdateTasks,
)
from wasabiturn.process.control.api_routes import RouteError
from wasabiturn.version.resources import parse_json
from wasabiturn.version.state import State

_STATES_BY_NAME = MappingProxyType(
    {
        'finished': TaskState.finished,
        'failed': TaskState.failed,
        'waiting': TaskState.waiting,
    },
)
_REASON = 'settled by an operator'


def parse_settlement(body: bytes) -> TaskState:
    """Return the task state that the operator requests.

    Raises:
        RouteError: the state is not accepted.
        MalformedError: the body is not a JSON object.
    """
    requested = parse_json(body).get('state')
    target_state = _STATES_BY_NAME.get(str(requested))
    if target_state is None:
        accepted = ', '.join(_STATES_BY_NAME)
        raise RouteError(
            HTTPStatus.UNPROCESSABLE_ENTITY,
            f'accepted are {accepted}',
            field='state',
        )
    return target_state


def find_task(state: State, name: str, team: str) -> Resource:
    """Return the task to settle.

    Raises:
        RouteError: it does not exist, or it belongs to another team.
    """
    task = state.resources_by_kind[Kind.task].get(name)
    if task is None:
        raise RouteError(HTTPStatus.NOT_FOUND, f'there is no task {name!r}')
    if team not in {'', task.team}:
        raise RouteError(
            HTTPStatus.FORBIDDEN, f'{name!r} belongs to another team', 'team'
        )
    return task


def create_settlement(
    task: Resource,
    target_state: TaskState,
    request_id: str,
) -> Command:
    """Create the command that moves ``task`` to ``target_state``.

    Raises:
        RouteError: the outcome of the task is already known.
    """
    spec = task.task_spec
    if spec is None or spec.state is not TaskState.outcome_unknown:
        text = f'the outcome of {task.name!r} is not unknown'
        raise RouteError(HTTPStatus.CONFLICT, text, field='state')
    transition = TaskTransition(
        task=task.name,
        expected_attempt=spec.attempt,
        expected_state=TaskState.outcome_unknown,
        task_spec=attrs.evolve(
            spec,
            state=target_state,
            worker='',
            incarnation='',
            reason=_REASON,
        ),
    )
    body = UpdateTasks(transitions=[transition])
    return Command(request_id=request_id, update_tasks=body)
