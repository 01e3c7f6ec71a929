"""Text output of ``wasabiturn status``."""

from collections import Counter, defaultdict
from typing import Any, final

import attrs

from wasabiturn.management.tables import render_table

_PLACED_STATES = frozenset(('assigned', 'running'))
_QUEUED_STATES = frozenset(('waiting', 'evicting'))
_ATTENTION_STATES = frozenset(('outcome_unknown', 'impossible', 'failed'))


@final
@attrs.frozen
class ListedResource:
    """One resource of a list, as returned by the API."""

    name: str
    team: str
    spec: dict[str, Any]


@final
@attrs.frozen
class ControlMember:
    """A member of the control group, as seen by the responding member."""

    name: str
    role: str
    lag: str


@final
@attrs.frozen
class ControlGroupStatus:
    """The control group, as seen by the responding member.

    ``member`` is the name of the responding member.
    """

    member: str
    leader: str
    revision: int
    members: list[ControlMember]


@final
@attrs.frozen
class DeploymentStatus:
    """What the command read from the API; also its JSON output."""

    control: ControlGroupStatus
    data_centres: list[ListedResource]
    workers: list[ListedResource]
    services: list[ListedResource]
    tasks: list[ListedResource]
    backend_servers: list[ListedResource]


def render_status(status: DeploymentStatus) -> str:
    """Return the status as text, from the control group to single tasks."""
    sections = [
        _render_control(status.control),
        _render_data_centres(status),
        _render_services(status),
        _render_tasks(status.tasks),
        _render_attention(status.tasks),
    ]
    return '\n\n'.join(section for section in sections if section)


def _render_control(control: ControlGroupStatus) -> str:
    summary = (
        f'leader {control.leader or "none"}, '
        f'revision {control.revision}, answered by {control.member}'
    )
    if not control.members:
        return summary
    rows = [(each.name, each.role, each.lag) for each in control.members]
    table = render_table('Control', ('member', 'role', 'lag'), rows)
    return f'{summary}\n\n{table}'


def _render_data_centres(status: DeploymentStatus) -> str:
    workers_by_name: dict[str, int] = Counter(
        worker.spec['data_centre'] for worker in status.workers
    )
    servers_by_name: dict[str, int] = Counter(
        server.spec['data_centre'] for server in status.backend_servers
    )
    out_by_name = {
        item.name: item.spec.get('out', False) for item in status.data_centres
    }
    names = sorted({*workers_by_name, *servers_by_name, *out_by_name})
    rows = [
        (
            name,
            'out' if out_by_name.get(name) else 'in',
            workers_by_name.get(name, 0),
            servers_by_name.get(name, 0),
        )
        for name in names
    ]
    columns = ('name', 'state', 'workers', 'backend servers')
    return render_table('Data centres', columns, rows)


def _render_services(status: DeploymentStatus) -> str:
    placed_by_name: dict[str, int] = Counter(
        task.spec['owner']
        for task in status.tasks
        if task.spec['owner_kind'] == 'service'
        and task.spec['state'] in _PLACED_STATES
    )
    servers_by_name: dict[str, int] = Counter(
        server.spec['service']
        for server in status.backend_servers
        if not server.spec['leaving']
    )
    rows = [
        (
            service.name,
            service.team,
            f'{placed_by_name.get(service.name, 0)}/{service.spec["replicas"]}',
            servers_by_name.get(service.name, 0),
            service.spec.get('target_p99_ms', ''),
        )
        for service in status.services
    ]
    columns = ('name', 'team', 'replicas', 'backend servers', 'target p99 ms')
    return render_table('Services', columns, rows)


def _render_tasks(tasks: list[ListedResource]) -> str:
    counts_by_team: dict[str, Counter[str]] = defaultdict(Counter)
    evictions_by_team: Counter[str] = Counter()
    for task in tasks:
        team = task.team
        counts_by_team[team][_group_state(task.spec['state'])] += 1
        evictions_by_team[team] += task.spec['evictions']
    rows = [
        (
            team,
            counts['waiting'],
            counts['running'],
            counts['finished'],
            counts['other'],
            evictions_by_team[team],
        )
        for team, counts in sorted(counts_by_team.items())
    ]
    columns = ('team', 'waiting', 'running', 'finished', 'other', 'evictions')
    return render_table('Tasks', columns, rows)


def _render_attention(tasks: list[ListedResource]) -> str:
    rows = [
        (task.name, task.spec['state'], task.spec['reason'])
        for task in tasks
        if task.spec['state'] in _ATTENTION_STATES
    ]
    if not rows:
        return ''
    return render_table('Needs a look', ('task', 'state', 'reason'), rows)


def _group_state(state: str) -> str:
    if state in _QUEUED_STATES:
        return 'waiting'
    if state in _PLACED_STATES:
        return 'running'
    return 'finished' if state == 'finished' else 'other'
