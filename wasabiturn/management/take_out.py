"""``wasabiturn take-out``: take a data centre out of service."""

from wasabiturn.management.options import (
    DEFAULT_OUTPUT,
    DEFAULT_SERVER,
    DEFAULT_TIMEOUT,
    OutputOption,
    ServerOption,
    TimeoutOption,
)
from wasabiturn.management.spec_change import FieldChange, change_and_print


def take_out(
    data_centre: str,
    server: ServerOption = DEFAULT_SERVER,
    timeout: TimeoutOption = DEFAULT_TIMEOUT,
    output: OutputOption = DEFAULT_OUTPUT,
) -> None:
    """Start nothing more in DATA_CENTRE, and move what runs there."""
    change = FieldChange(
        path=f'/v1/data-centres/{data_centre}',
        changed={'out': True},
        creates=True,
    )
    change_and_print(change, server, timeout, output)
