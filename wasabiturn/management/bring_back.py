"""``wasabiturn bring-back``: bring a data centre back into service."""

from wasabiturn.management.options import (
    DEFAULT_OUTPUT,
    DEFAULT_SERVER,
    DEFAULT_TIMEOUT,
    OutputOption,
    ServerOption,
    TimeoutOption,
)
from wasabiturn.management.spec_change import FieldChange, change_and_print


def bring_back(
    data_centre: str,
    server: ServerOption = DEFAULT_SERVER,
    timeout: TimeoutOption = DEFAULT_TIMEOUT,
    output: OutputOption = DEFAULT_OUTPUT,
) -> None:
    """Let work start in DATA_CENTRE again."""
    change = FieldChange(
        path=f'/v1/data-centres/{data_centre}',
        changed={'out': False},
        creates=True,
    )
    change_and_print(change, server, timeout, output)
