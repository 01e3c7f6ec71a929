"""The program that accepts requests of callers and of operators.

On an instance without a disk no control member runs. The entry then answers
for it the one question by which processes find the group: who its members are.
"""

from typing import Any

from wasabiturn.connection.client_claims import Rank
from wasabiturn.connection.http_limits import CALLER_LIMITS
from wasabiturn.connection.rejections import RejectionCause
from wasabiturn.messages.kinds import Role
from wasabiturn.platform.addresses import Address
from wasabiturn.platform.callers import CallerHandler
from wasabiturn.platform.http_server import (
    OK,
    UNAVAILABLE,
    JsonServer,
    Response,
)
from wasabiturn.platform.operators import OperatorHandler
from wasabiturn.platform.program import Program
from wasabiturn.platform.settings import PlatformSettings
from wasabiturn.process.daemon import Context
from wasabiturn.process.entry.configured_limits import ConfiguredLimits
from wasabiturn.process.entry.leader_contact import LeaderContact
from wasabiturn.process.entry.memory_room import MemoryRoom
from wasabiturn.process.entry.waiting_jobs import WaitingJobs
from wasabiturn.process.member_directory import MemberDirectory
from wasabiturn.utils.pauses import PauseDetector

# A stopping entry still serves requests for this long: the load balancer stops
# using it only after two failed checks, which are a second apart.
DRAIN_SECONDS = 3.0


def create_program(context: Context, platform: PlatformSettings) -> Program:
    """Create the entry of this process."""
    program = Program(context, platform, Role.entry)
    leader_contact = LeaderContact(program.group.calls, context.reactor)
    callers = JsonServer(
        CallerHandler(
            program.group.calls,
            leader_contact.is_fresh,
            platform.job_limits,
            WaitingJobs(
                MemoryRoom(program.guard.bounds.waiting_bytes),
                on_refusal=lambda: program.guard.record(
                    RejectionCause.memory, Rank.caller
                ),
            ),
        ).handle,
    )

    def report_readiness(request: Any) -> Response:
        is_ready = leader_contact.is_fresh() and not program.is_draining
        return Response(status=OK if is_ready else UNAVAILABLE)

    program.services.append(leader_contact)
    limits = ConfiguredLimits(
        CALLER_LIMITS,
        program.guard.bounds.budget_bytes,
        lambda: [site for site in program.sites if site.rank is Rank.caller],
    )
    leader_contact.on_status.append(limits.follow)
    operators = OperatorHandler(program.group.calls, platform.data_centres)
    program.addresses = [
        Address(platform.callers_listen, callers, Rank.caller, CALLER_LIMITS),
        Address(platform.control_listen, JsonServer(operators.handle)),
        Address(platform.ready_listen, JsonServer(report_readiness)),
    ]
    program.drain_seconds = DRAIN_SECONDS
    program.pause_detector = PauseDetector(context.reactor)
    if platform.data_folder is None:
        program.accepts_links = True
        MemberDirectory(program.group, program.dispatch)
    return program
