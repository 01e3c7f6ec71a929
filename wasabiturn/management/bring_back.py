"""``wasabiturn bring-back``: bring a data centre back into service."""

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


def bring_back(
    data_centre: str,
    server: ServerOption = DEFAULT_SERVER,
    timeout: TimeoutOption = DEFAULT_TIMEOUT,
    output: OutputOption = DEFAULT_OUTPUT,
) -> None:
    """Let work start in DATA_CENTRE again."""

    def edit(client: ApiClient) -> Deferred[dict[str, Any]]:
        path = f'/v1/data-centres/{data_centre}'
        return Edit(client, path, {'out': False}, creates=True).run()

    print_resources([run_command(server, timeout, edit)], output)
