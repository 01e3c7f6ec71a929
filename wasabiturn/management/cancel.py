"""``wasabiturn cancel``: cancel a job."""

from wasabiturn.management.options import (
    DEFAULT_OUTPUT,
    DEFAULT_SERVER,
    DEFAULT_TIMEOUT,
    OutputOption,
    ServerOption,
    TimeoutOption,
)
from wasabiturn.management.spec_change import SpecChange, change_and_print


def cancel(
    job: str,
    server: ServerOption = DEFAULT_SERVER,
    timeout: TimeoutOption = DEFAULT_TIMEOUT,
    output: OutputOption = DEFAULT_OUTPUT,
) -> None:
    """Cancel JOB and stop its tasks; it is listed until it is deleted."""
    change = SpecChange(
        path=f'/v1/jobs/{job}',
        fields={'cancelled': True},
        create_missing=False,
    )
    change_and_print(change, server, timeout, output)
