"""``wasabiturn cancel``: cancel a job."""

from wasabiturn.management.options import (
    DEFAULT_OUTPUT,
    DEFAULT_SERVER,
    DEFAULT_TIMEOUT,
    OutputOption,
    ServerOption,
    TimeoutOption,
)
from wasabiturn.management.spec_change import FieldChange, change_and_print


def cancel(
    job: str,
    server: ServerOption = DEFAULT_SERVER,
    timeout: TimeoutOption = DEFAULT_TIMEOUT,
    output: OutputOption = DEFAULT_OUTPUT,
) -> None:
    """Stop the tasks of JOB for good; it stays visible until it is deleted."""
    change = FieldChange(
        path=f'/v1/jobs/{job}',
        changed={'cancelled': True},
        creates=False,
    )
    change_and_print(change, server, timeout, output)
