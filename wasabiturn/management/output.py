"""Printing of resources: tables for people, JSON for scripts."""

import json
from collections.abc import Iterable
from types import MappingProxyType
from typing import Any

import typer

from wasabiturn.management.options import Output
from wasabiturn.management.tables import render_table

Item = dict[str, Any]

_LEAD_COLUMNS = ('name', 'team')
_COLUMNS_BY_KIND = MappingProxyType(
    {
        'tasks': ('state', 'worker', 'reason'),
        'jobs': (
            'tasks',
            'size.cores',
            'size.memory_mb',
            'urgent',
            'cancelled',
        ),
        'services': ('replicas', 'slots', 'size.cores', 'target_p99_ms'),
        'data-centres': ('out', 'region'),
        'workers': ('data_centre', 'rack', 'agent_address', 'leaving'),
        'backend-servers': ('service', 'data_centre', 'address', 'leaving'),
    },
)


def print_resources(items: Iterable[Item], output: Output) -> None:
    """Print ``items`` as tables by kind, or as one JSON object a line."""
    if output is Output.json:
        for item in items:
            typer.echo(json.dumps(item, sort_keys=True))
        return
    items_by_kind: dict[str, list[Item]] = {}
    for item in items:
        items_by_kind.setdefault(item['kind'], []).append(item)
    for kind, listed in items_by_kind.items():
        typer.echo(render_resources(kind, listed))


def render_resources(kind: str, items: list[Item]) -> str:
    """Return the table of resources of one kind."""
    columns = _COLUMNS_BY_KIND.get(kind)
    if columns is None:
        rows = [[*_lead(item), describe_spec(item['spec'])] for item in items]
        return render_table('', (*_LEAD_COLUMNS, 'spec'), rows)
    rows = [
        [*_lead(item), *[_read_cell(item['spec'], name) for name in columns]]
        for item in items
    ]
    titles = [name.rpartition('.')[2].replace('_', ' ') for name in columns]
    return render_table('', (*_LEAD_COLUMNS, *titles), rows)


def _lead(item: Item) -> list[str]:
    return [item['name'], item.get('team', '')]


def _read_cell(spec: dict[str, Any], name: str) -> str:
    outer, _, inner = name.partition('.')
    cell = spec.get(outer, '')
    return str(cell.get(inner, '') if inner else cell)


def describe_spec(spec: dict[str, Any], prefix: str = '') -> str:
    """Return the fields of a spec that are set, as ``name=value``."""
    parts = []
    for name, content in spec.items():
        if isinstance(content, dict):
            parts.append(describe_spec(content, f'{prefix}{name}.'))
        elif content not in {'', 0}:
            parts.append(f'{prefix}{name}={content}')
    return ' '.join(part for part in parts if part)
