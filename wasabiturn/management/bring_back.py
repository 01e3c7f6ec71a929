"""``wasabiturn bring-back``: bring a data centre back into service."""

from wasabiturn.management.options import (
    DEFAULT_OUTPUT,
    DEFAULT_SERVER,
    DEFAULT_TIMEOUT,
    OutputOption,
    ServerOption,
    TimeoutOption,
)
from wasabiturn.management.spec_change import SpecChange, change_and_print


def bring_back(
    data_centre: str,
    server: ServerOption = DEFAULT_SERVER,
    timeout: TimeoutOption = DEFAULT_TIMEOUT,
    output: OutputOption = DEFAULT_OUTPUT,
) -> None:
    """Bring DATA_CENTRE back into service: work may start there again."""
    change = SpecChange(
        path=f'/v1/data-centres/{data_centre}',
        fields={'out': False},
        create_missing=True,
    )
    change_and_print(change, server, timeout, output)
