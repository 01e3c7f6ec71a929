"""``wasabiturn status``: the whole deployment at a glance."""

import json
from typing import Any

import attrs
import typer
from twisted.internet.defer import inlineCallbacks

from wasabiturn.management.http_client import ApiClient
from wasabiturn.management.options import (
    DEFAULT_OUTPUT,
    DEFAULT_SERVER,
    DEFAULT_TIMEOUT,
    Output,
    OutputOption,
    ServerOption,
    TimeoutOption,
)
from wasabiturn.management.pages import read_pages
from wasabiturn.management.running import run_command
from wasabiturn.management.status_view import (
    ControlLine,
    Listed,
    MemberLine,
    StatusInput,
    render_status,
)


def status(
    server: ServerOption = DEFAULT_SERVER,
    timeout: TimeoutOption = DEFAULT_TIMEOUT,
    output: OutputOption = DEFAULT_OUTPUT,
) -> None:
    """Show leader, members, data centres, services, tasks and what is amiss."""
    found: StatusInput = run_command(server, timeout, read_status)
    if output is Output.json:
        typer.echo(json.dumps(attrs.asdict(found), sort_keys=True))
    else:
        typer.echo(render_status(found))


@inlineCallbacks
def read_status(client: ApiClient) -> Any:
    """Read all that the status shows; fails with ``ApiError``."""
    control = yield client.read('/v1/status')
    lists = []
    for kind in (
        'data-centres',
        'workers',
        'services',
        'tasks',
        'backend-servers',
    ):
        items = yield read_pages(client, f'/v1/{kind}')
        lists.append([_create_listed(item) for item in items])
    return StatusInput(_create_control(control), *lists)


def _create_listed(item: dict[str, Any]) -> Listed:
    return Listed(
        name=item['name'],
        team=item.get('team', ''),
        spec=item['spec'],
    )


def _create_control(control: dict[str, Any]) -> ControlLine:
    members = [_create_member(member) for member in control['members']]
    return ControlLine(
        member=control['member'],
        leader=control['leader'] or '',
        revision=control['revision'],
        members=members,
    )


def _create_member(member: dict[str, Any]) -> MemberLine:
    lag = member['lag']
    return MemberLine(
        name=member['member'],
        role='voter' if member['voter'] else 'learner',
        lag='not known here' if lag is None else f'{lag} entries',
    )
