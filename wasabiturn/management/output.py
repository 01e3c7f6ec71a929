"""Printing of resources: tables for people, JSON for scripts."""

import json
from collections.abc import Iterable
from typing import Any

import typer
from rich.console import Console
from rich.table import Table

from wasabiturn.management.options import Output


def print_resources(items: Iterable[dict[str, Any]], output: Output) -> None:
    """Print ``items`` as one table, or as one JSON object a line."""
    if output is Output.json:
        for item in items:
            typer.echo(json.dumps(item, sort_keys=True))
        return
    table = Table(box=None, pad_edge=False, show_edge=False)
    for heading in ('KIND', 'NAME', 'TEAM', 'REVISION', 'SPEC'):
        table.add_column(heading, overflow='fold')
    for item in items:
        table.add_row(
            str(item.get('kind', '')),
            str(item.get('name', '')),
            str(item.get('team', '')),
            str(item.get('revision', '')),
            describe_spec(item.get('spec', {})),
        )
    Console(soft_wrap=True, highlight=False).print(table)


def describe_spec(spec: dict[str, Any], prefix: str = '') -> str:
    """Return the fields of a spec that are set, as ``name=value``."""
    parts = []
    for name, content in spec.items():
        if isinstance(content, dict):
            parts.append(describe_spec(content, f'{prefix}{name}.'))
        elif content not in {'', 0}:
            parts.append(f'{prefix}{name}={content}')
    return ' '.join(part for part in parts if part)
