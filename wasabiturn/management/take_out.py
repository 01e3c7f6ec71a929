"""``wasabiturn take-out``: take a data centre out of service."""

from wasabiturn.management.options import (
    DEFAULT_OUTPUT,
    DEFAULT_SERVER,
    DEFAULT_TIMEOUT,
    OutputOption,
    ServerOption,
    TimeoutOption,
)
from wasabiturn.management.spec_change import SpecChange, change_and_print


def take_out(
    data_centre: str,
    server: ServerOption = DEFAULT_SERVER,
    timeout: TimeoutOption = DEFAULT_TIMEOUT,
    output: OutputOption = DEFAULT_OUTPUT,
) -> None:
    """Take DATA_CENTRE out of service.

    No more work is started there, and what runs there is moved.
    """
    change = SpecChange(
        path=f'/v1/data-centres/{data_centre}',
        fields={'out': True},
        create_missing=True,
    )
    change_and_print(change, server, timeout, output)
