"""Shared code of the commands that change a field of a resource."""

from typing import Any, final

import attrs
from twisted.internet.defer import Deferred

from wasabiturn.management.http_client import ApiClient
from wasabiturn.management.options import OutputFormat
from wasabiturn.management.output import print_resources
from wasabiturn.management.running import run_command
from wasabiturn.management.spec_updater import SpecUpdater


@final
@attrs.frozen
class SpecChange:
    """Values to set in the spec of the resource at ``path``.

    A missing resource is created only if ``create_missing`` is true.
    """

    path: str
    fields: dict[str, Any]
    create_missing: bool


def change_and_print(
    change: SpecChange,
    server: str,
    timeout_seconds: float,
    output: OutputFormat,
) -> None:
    """Apply ``change`` and print the resource as written."""

    def run(client: ApiClient) -> Deferred[dict[str, Any]]:
        updater = SpecUpdater(
            client,
            change.path,
            change.fields,
            change.create_missing,
        )
        return updater.run()

    print_resources([run_command(server, timeout_seconds, run)], output)
