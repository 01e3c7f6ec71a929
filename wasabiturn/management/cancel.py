"""``wasabiturn cancel``: cancel a job."""

from typing import Any

from twisted.internet.defer import Deferred

from wasabiturn.management.edits import Edit
from wasabiturn.management.http_client import ApiClient
from wasabiturn.management.options import (
    DEFAULT_OUTPUT,
    DEFAULT_SERVER,
    DEFAULT_TIMEOUT,
    OutputOption,
    ServerOption,
    TimeoutOption,
)
from wasabiturn.management.output import print_resources
from wasabiturn.management.running import run_command


def cancel(
    job: str,
    server: ServerOption = DEFAULT_SERVER,
    timeout: TimeoutOption = DEFAULT_TIMEOUT,
    output: OutputOption = DEFAULT_OUTPUT,
) -> None:
    """Stop the tasks of JOB for good; it stays visible until it is deleted."""

    def edit(client: ApiClient) -> Deferred[dict[str, Any]]:
        path = f'/v1/jobs/{job}'
        return Edit(client, path, {'cancelled': True}, creates=False).run()

    print_resources([run_command(server, timeout, edit)], output)
