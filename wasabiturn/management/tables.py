"""Plain text tables for a terminal of 80 columns."""

from collections.abc import Iterable, Sequence
from io import StringIO

from rich.box import SIMPLE_HEAD
from rich.console import Console
from rich.table import Table

WIDTH_COLUMNS = 80


def render_table(
    title: str,
    columns: Sequence[str],
    rows: Iterable[Sequence[object]],
) -> str:
    """Return a table as text; long cells are wrapped, not truncated."""
    table = Table(
        title=title or None,
        title_justify='left',
        box=SIMPLE_HEAD,
        pad_edge=False,
        show_edge=False,
    )
    for column in columns:
        table.add_column(column, overflow='fold')
    for row in rows:
        table.add_row(*[str(cell) for cell in row])
    output = StringIO()
    console = Console(
        file=output,
        width=WIDTH_COLUMNS,
        color_system=None,
        legacy_windows=False,
    )
    console.print(table)
    lines = output.getvalue().splitlines()
    return '\n'.join(line.rstrip() for line in lines)
