"""Commands that change one field of a resource."""

from typing import Any, final

import attrs
from twisted.internet.defer import Deferred

from wasabiturn.management.http_client import ApiClient
from wasabiturn.management.options import Output
from wasabiturn.management.output import print_resources
from wasabiturn.management.running import run_command
from wasabiturn.management.spec_updater import Edit


@final
@attrs.frozen
class FieldChange:
    """Fields of the spec at ``path`` to set, creating it if that is set."""

    path: str
    changed: dict[str, Any]
    creates: bool


def change_and_print(
    change: FieldChange,
    server: str,
    timeout_seconds: float,
    output: Output,
) -> None:
    """Make the change and print the written resource."""

    def run(client: ApiClient) -> Deferred[dict[str, Any]]:
        edit = Edit(client, change.path, change.changed, change.creates)
        return edit.run()

    print_resources([run_command(server, timeout_seconds, run)], output)
