"""``wasabiturn explain``: why a task is placed where it is or waits."""

from typing import Annotated, Any

import typer
from twisted.internet.defer import Deferred

from wasabiturn.management.http_client import ApiClient
from wasabiturn.management.options import (
    DEFAULT_SERVER,
    DEFAULT_TIMEOUT,
    ServerOption,
    TimeoutOption,
)
from wasabiturn.management.running import run_command
from wasabiturn.management.tables import render_table

_NEXT_STEPS_BY_STATE = (
    ('waiting', 'it is placed once the reason is gone'),
    ('assigned', 'its worker has been told to start it'),
    ('running', 'it is running on its worker'),
    ('evicting', 'it is checkpointed, then waits to be placed again'),
    ('stopping', 'its worker has been told to stop it'),
    ('finished', 'nothing is left to do'),
    ('failed', 'see the reason; fix it and apply the job again'),
    ('cancelled', 'nothing is left to do'),
    ('outcome_unknown', 'check its output, then settle it by hand'),
    (
        'impossible',
        'no worker can ever run it: reduce its size or add a larger worker',
    ),
)


def explain(
    task: Annotated[
        str, typer.Argument(help='Name of the task, such as plots.0.')
    ],
    server: ServerOption = DEFAULT_SERVER,
    timeout: TimeoutOption = DEFAULT_TIMEOUT,
) -> None:
    """Explain why TASK is placed where it is, or why it waits.

    Example: wasabiturn explain plots.0
    """

    def read(client: ApiClient) -> Deferred[dict[str, Any]]:
        return client.read(f'/v1/tasks/{task}')

    found = run_command(server, timeout, read)
    typer.echo(render_explanation(found))


def render_explanation(item: dict[str, Any]) -> str:
    """Return the explanation of one task as text."""
    spec = item['spec']
    size = spec['size']
    state = spec['state']
    rows = [
        ('task', f'{item["name"]} of team {item["team"]}'),
        ('state', state),
        ('worker', spec['worker'] or 'none'),
        ('attempt', spec['attempt']),
        ('reason', spec['reason'] or 'none recorded'),
        ('next', dict(_NEXT_STEPS_BY_STATE).get(state, '')),
        (
            'size',
            f'{size["cores"]} cores, {size["memory_mb"]} MB, '
            f'{size["accelerators"]} accelerators',
        ),
        ('evictions', spec['evictions']),
        ('failures', spec['failures']),
        ('checkpoint', spec['checkpoint'] or 'none'),
    ]
    return render_table('', ('what', 'value'), rows)
