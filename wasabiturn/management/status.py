"""``wasabiturn status``: print an overview of the deployment."""

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
    OutputFormat,
    OutputOption,
    ServerOption,
    TimeoutOption,
)
from wasabiturn.management.pages import read_pages
from wasabiturn.management.running import run_command
from wasabiturn.management.status_view import (
    ControlGroupStatus,
    ControlMember,
    DeploymentStatus,
    ListedResource,
    render_status,
)


def status(
    server: ServerOption = DEFAULT_SERVER,
    timeout: TimeoutOption = DEFAULT_TIMEOUT,
    output: OutputOption = DEFAULT_OUTPUT,
) -> None:
    """Show leader, members, data centres, services, tasks and problems."""
    found: DeploymentStatus = run_command(server, timeout, read_status)
    if output is OutputFormat.json:
        typer.echo(json.dumps(attrs.asdict(found), sort_keys=True))
    else:
        typer.echo(render_status(found))


@inlineCallbacks
def read_status(client: ApiClient) -> Any:
    """Read the status of the deployment; fail with ``ApiError``."""
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
        lists.append([_create_listed_resource(item) for item in items])
    return DeploymentStatus(_create_control(control), *lists)


def _create_listed_resource(item: dict[str, Any]) -> ListedResource:
    return ListedResource(
        name=item['name'],
        team=item.get('team', ''),
        spec=item['spec'],
    )


def _create_control(control: dict[str, Any]) -> ControlGroupStatus:
    members = [_create_member(member) for member in control['members']]
    return ControlGroupStatus(
        member=control['member'],
        leader=control['leader'] or '',
        revision=control['revision'],
        members=members,
    )


def _create_member(member: dict[str, Any]) -> ControlMember:
    lag = member['lag']
    return ControlMember(
        name=member['member'],
        role='voter' if member['voter'] else 'learner',
        lag='not known here' if lag is None else f'{lag} entries',
    )
