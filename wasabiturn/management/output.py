"""Output of resources as tables or JSON lines."""

import json
from collections.abc import Iterable
from types import MappingProxyType
from typing import Any

import typer

from wasabiturn.management.options import OutputFormat
from wasabiturn.management.tables import render_table

ResourceDict = dict[str, Any]

_COMMON_COLUMNS = ('name', 'team')
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


def print_resources(
    items: Iterable[ResourceDict], output: OutputFormat
) -> None:
    """Print ``items`` as one table per kind, or one JSON object per line."""
    if output is OutputFormat.json:
        for item in items:
            typer.echo(json.dumps(item, sort_keys=True))
        return
    items_by_kind: dict[str, list[ResourceDict]] = {}
    for item in items:
        items_by_kind.setdefault(item['kind'], []).append(item)
    for kind, kind_items in items_by_kind.items():
        typer.echo(render_resources(kind, kind_items))


def render_resources(kind: str, items: list[ResourceDict]) -> str:
    """Return the resources ``items`` of one kind as a text table."""
    columns = _COLUMNS_BY_KIND.get(kind)
    if columns is None:
        rows = [
            [*_common_cells(item), describe_spec(item['spec'])]
            for item in items
        ]
        return render_table('', (*_COMMON_COLUMNS, 'spec'), rows)
    rows = [
        [
            *_common_cells(item),
            *[_read_cell(item['spec'], name) for name in columns],
        ]
        for item in items
    ]
    titles = [name.rpartition('.')[2].replace('_', ' ') for name in columns]
    return render_table('', (*_COMMON_COLUMNS, *titles), rows)


def _common_cells(item: ResourceDict) -> list[str]:
    return [item['name'], item.get('team', '')]


def _read_cell(spec: dict[str, Any], name: str) -> str:
    outer, _, inner = name.partition('.')
    cell = spec.get(outer, '')
    return str(cell.get(inner, '') if inner else cell)


def describe_spec(spec: dict[str, Any], prefix: str = '') -> str:
    """Return the non-empty fields of a spec as ``name=value``."""
    parts = []
    for name, content in spec.items():
        if isinstance(content, dict):
            parts.append(describe_spec(content, f'{prefix}{name}.'))
        elif content not in {'', 0}:
            parts.append(f'{prefix}{name}={content}')
    return ' '.join(part for part in parts if part)
