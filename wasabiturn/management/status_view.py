"""Text of ``wasabiturn status``."""

from collections import Counter, defaultdict
from typing import Any, final

import attrs

from wasabiturn.management.tables import render_table

Item = dict[str, Any]

_PLACED_STATES = frozenset(('assigned', 'running'))
_QUEUED_STATES = frozenset(('waiting', 'evicting'))
_NOTED_STATES = ('outcome_unknown', 'impossible', 'failed')


@final
@attrs.frozen
class StatusInput:
    """What the command has read, each list as the API gives it."""

    control: Item
    data_centres: list[Item]
    workers: list[Item]
    services: list[Item]
    tasks: list[Item]
    backend_servers: list[Item]


def render_status(status: StatusInput) -> str:
    """Return the whole status, widest overview first."""
    sections = [
        _render_control(status.control),
        _render_data_centres(status),
        _render_services(status),
        _render_queue(status.tasks),
        _render_noted(status.tasks),
    ]
    return '\n\n'.join(section for section in sections if section)


def _render_control(control: Item) -> str:
    head = (
        f'leader {control.get("leader") or "none"}, '
        f'revision {control.get("revision")}, '
        f'answered by {control.get("member")}'
    )
    members = control.get('members') or []
    if not members:
        return head
    rows = [
        (
            member.get('name', ''),
            member.get('role', ''),
            member.get('lag', ''),
        )
        for member in members
    ]
    return f'{head}\n\n{render_table("Control", ("name", "role", "lag"), rows)}'


def _render_data_centres(status: StatusInput) -> str:
    workers_by_name: dict[str, int] = Counter(
        worker['spec']['data_centre'] for worker in status.workers
    )
    servers_by_name: dict[str, int] = Counter(
        server['spec']['data_centre'] for server in status.backend_servers
    )
    out_by_name = {
        item['name']: item['spec'].get('out', False)
        for item in status.data_centres
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


def _render_services(status: StatusInput) -> str:
    placed_by_name: dict[str, int] = Counter(
        task['spec']['owner']
        for task in status.tasks
        if task['spec']['owner_kind'] == 'services'
        and task['spec']['state'] in _PLACED_STATES
    )
    servers_by_name: dict[str, int] = Counter(
        server['spec']['service']
        for server in status.backend_servers
        if not server['spec']['leaving']
    )
    rows = [
        (
            service['name'],
            service['team'],
            f'{placed_by_name.get(service["name"], 0)}'
            f'/{service["spec"]["replicas"]}',
            servers_by_name.get(service['name'], 0),
            service['spec'].get('target_p99_ms', ''),
        )
        for service in status.services
    ]
    columns = ('name', 'team', 'replicas', 'backend servers', 'target p99 ms')
    return render_table('Services', columns, rows)


def _render_queue(tasks: list[Item]) -> str:
    counts_by_team: dict[str, Counter[str]] = defaultdict(Counter)
    evictions_by_team: Counter[str] = Counter()
    for task in tasks:
        team = task['team']
        counts_by_team[team][_summarize(task['spec']['state'])] += 1
        evictions_by_team[team] += task['spec']['evictions']
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


def _render_noted(tasks: list[Item]) -> str:
    rows = [
        (task['name'], task['spec']['state'], task['spec']['reason'])
        for task in tasks
        if task['spec']['state'] in _NOTED_STATES
    ]
    if not rows:
        return ''
    return render_table('Needs a look', ('task', 'state', 'reason'), rows)


def _summarize(state: str) -> str:
    if state in _QUEUED_STATES:
        return 'waiting'
    if state in _PLACED_STATES:
        return 'running'
    return 'finished' if state == 'finished' else 'other'
