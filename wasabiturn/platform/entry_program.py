"""The program that accepts requests of callers."""

from typing import Any

from wasabiturn.messages.kinds import Role
from wasabiturn.platform.callers import CallerHandler
from wasabiturn.platform.http_server import (
    OK,
    UNAVAILABLE,
    JsonResource,
    Response,
)
from wasabiturn.platform.program import Program
from wasabiturn.platform.settings import PlatformSettings
from wasabiturn.process.daemon import Context
from wasabiturn.process.entry.leader_contact import LeaderContact

# A stopping entry still serves requests for this long: the load balancer stops
# using it only after two failed checks, which are a second apart.
DRAIN_SECONDS = 3.0


def create_program(context: Context, platform: PlatformSettings) -> Program:
    """Create the entry of this process."""
    program = Program(context, platform, Role.entry)
    leader_contact = LeaderContact(program.group.calls, context.reactor)
    callers = JsonResource(
        CallerHandler(program.group.calls, leader_contact.is_fresh).handle,
    )

    def report_readiness(request: Any, body: bytes) -> Response:
        is_ready = leader_contact.is_fresh() and not callers.is_closing
        return Response(status=OK if is_ready else UNAVAILABLE)

    program.services = [leader_contact]
    program.sites = [
        (platform.callers_listen, callers),
        (platform.ready_listen, JsonResource(report_readiness)),
    ]
    program.drain_seconds = DRAIN_SECONDS
    return program
