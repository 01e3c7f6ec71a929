"""Text of ``wasabiturn status``."""

from collections import Counter, defaultdict
from typing import Any, final

import attrs

from wasabiturn.management.tables import render_table

_PLACED_STATES = frozenset(('assigned', 'running'))
_QUEUED_STATES = frozenset(('waiting', 'evicting'))
_NOTED_STATES = frozenset(('outcome_unknown', 'impossible', 'failed'))


@final
@attrs.frozen
class Listed:
    """One resource of a list, as the API gives it."""

    name: str
    team: str
    spec: dict[str, Any]


@final
@attrs.frozen
class MemberLine:
    """One control instance as the answering member sees it."""

    name: str
    role: str
    lag: str


@final
@attrs.frozen
class ControlLine:
    """The control group as the answering member sees it."""

    member: str
    leader: str
    revision: int
    members: list[MemberLine]


@final
@attrs.frozen
class StatusInput:
    """What the command has read."""

    control: ControlLine
    data_centres: list[Listed]
    workers: list[Listed]
    services: list[Listed]
    tasks: list[Listed]
    backend_servers: list[Listed]


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


def _render_control(control: ControlLine) -> str:
    head = (
        f'leader {control.leader or "none"}, '
        f'revision {control.revision}, answered by {control.member}'
    )
    if not control.members:
        return head
    rows = [(each.name, each.role, each.lag) for each in control.members]
    table = render_table('Control', ('member', 'role', 'lag'), rows)
    return f'{head}\n\n{table}'


def _render_data_centres(status: StatusInput) -> str:
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


def _render_services(status: StatusInput) -> str:
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


def _render_queue(tasks: list[Listed]) -> str:
    counts_by_team: dict[str, Counter[str]] = defaultdict(Counter)
    evictions_by_team: Counter[str] = Counter()
    for task in tasks:
        team = task.team
        counts_by_team[team][_summarize(task.spec['state'])] += 1
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


def _render_noted(tasks: list[Listed]) -> str:
    rows = [
        (task.name, task.spec['state'], task.spec['reason'])
        for task in tasks
        if task.spec['state'] in _NOTED_STATES
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
