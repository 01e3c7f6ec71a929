"""``wasabiturn delete``: delete a resource."""

from typing import Annotated, Any

import typer
from twisted.internet.defer import Deferred

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


def delete(
    kind: str,
    name: str,
    revision: Annotated[
        int | None,
        typer.Option(help='Delete only if the stored revision is this one.'),
    ] = None,
    server: ServerOption = DEFAULT_SERVER,
    timeout: TimeoutOption = DEFAULT_TIMEOUT,
    output: OutputOption = DEFAULT_OUTPUT,
) -> None:
    """Delete the resource NAME of KIND and stop its tasks."""

    def remove(client: ApiClient) -> Deferred[dict[str, Any]]:
        return client.write('DELETE', f'/v1/{kind}/{name}', revision=revision)

    print_resources([run_command(server, timeout, remove)], output)
