"""``wasabiturn take-out`` and ``bring-back``: data centres out and in."""

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
    change = _create_change(data_centre, out=True)
    change_and_print(change, server, timeout, output)


def bring_back(
    data_centre: str,
    server: ServerOption = DEFAULT_SERVER,
    timeout: TimeoutOption = DEFAULT_TIMEOUT,
    output: OutputOption = DEFAULT_OUTPUT,
) -> None:
    """Bring DATA_CENTRE back into service: work may start there again."""
    change = _create_change(data_centre, out=False)
    change_and_print(change, server, timeout, output)


def _create_change(data_centre: str, out: bool) -> SpecChange:
    return SpecChange(
        path=f'/v1/data-centres/{data_centre}',
        fields={'out': out},
        create_missing=True,
    )
