"""``wasabiturn get``: print resources."""

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
from wasabiturn.management.pages import read_pages
from wasabiturn.management.running import run_command


def get(
    kind: Annotated[str, typer.Argument(help='services, jobs, tasks, ...')],
    name: Annotated[str, typer.Argument()] = '',
    server: ServerOption = DEFAULT_SERVER,
    timeout: TimeoutOption = DEFAULT_TIMEOUT,
    output: OutputOption = DEFAULT_OUTPUT,
) -> None:
    """Print all resources of KIND, or only the one named NAME."""
    path = f'/v1/{kind}/{name}' if name else f'/v1/{kind}'

    def read(client: ApiClient) -> Deferred[Any]:
        if name:
            return client.read(path).addCallback(lambda found: [found])
        return read_pages(client, path)

    print_resources(run_command(server, timeout, read), output)
