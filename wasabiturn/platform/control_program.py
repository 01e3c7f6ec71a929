"""The program that replicates the state and may lead."""

from wasabiturn.batch.placing.locality.state import LocalityTerms
from wasabiturn.batch.state.budget import create_state_budget
from wasabiturn.messages.kinds import Role
from wasabiturn.platform.program import Program
from wasabiturn.platform.routing import read_client_limits, read_queues
from wasabiturn.platform.settings import PlatformSettings
from wasabiturn.process.control.batch import create_batch_leader
from wasabiturn.process.control.batch.starts import TermSettings
from wasabiturn.process.control.consensus import create_replica
from wasabiturn.process.daemon import Context
from wasabiturn.process.group_gap import GroupGap, GroupGapReporter
from wasabiturn.version.raft.core import Contacts


def create_program(context: Context, platform: PlatformSettings) -> Program:
    """Create the control member of this process."""
    program = Program(context, platform, Role.control)
    program.accepts_links = True
    program.dispatch.hello.state_budget = create_state_budget(
        platform.memory_mb, platform.disk_bytes, platform.log_bytes
    )
    replica = create_replica(context, program.dispatch)
    program.dispatch.revision = lambda: replica.state.revision
    program.services = [
        replica,
        create_batch_leader(
            context,
            replica,
            program.dispatch,
            _create_term_settings(platform),
            read_queues,
            read_client_limits,
        ),
    ]

    def find_gap() -> GroupGap | None:
        missing = replica.member_status().missing
        return missing and GroupGap(missing.gap.value, missing.names)

    program.services.append(GroupGapReporter(find_gap, context.reactor))
    program.group.needs_all_lists = lambda: find_gap() is not None
    program.group.on_members.append(
        lambda names, lister: replica.step(Contacts(tuple(names), lister)),
    )
    return program


def _create_term_settings(platform: PlatformSettings) -> TermSettings:
    return TermSettings(
        lease_ms=platform.lease_ms,
        locality=LocalityTerms(
            slowdown_factor=platform.slowdown_factor,
            is_enabled=platform.waits_for_racks,
        ),
        orders_by_priority=platform.orders_by_priority,
    )
