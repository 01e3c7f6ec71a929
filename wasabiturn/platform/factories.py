"""Factories of the programs that run on the platform."""

from typing import Any

from wasabiturn.exceptions import SettingsError
from wasabiturn.messages.batch import WorkerOrders
from wasabiturn.messages.kinds import Method, Role
from wasabiturn.platform.announcements import AnnouncementHandler
from wasabiturn.platform.callers import CallerHandler
from wasabiturn.platform.http_server import (
    OK,
    UNAVAILABLE,
    JsonResource,
    Response,
)
from wasabiturn.platform.operators import OperatorHandler
from wasabiturn.platform.program import Program
from wasabiturn.platform.settings import PlatformSettings
from wasabiturn.platform.worker_client import HttpWorker
from wasabiturn.process.agent.runs import RunReconciler
from wasabiturn.process.control.batch import create_batch_leader
from wasabiturn.process.control.consensus import create_replica
from wasabiturn.process.daemon import Context
from wasabiturn.process.entry.leader_contact import LeaderContact

# A stopping entry still serves requests for this long: the load balancer stops
# using it only after two failed checks, which are a second apart.
ENTRY_DRAIN_SECONDS = 3.0


def create_control(context: Context, platform: PlatformSettings) -> Program:
    """Create the program that replicates the state and may lead."""
    program = Program(context, platform, Role.control)
    program.accepts_links = True
    replica = create_replica(context, program.dispatch)
    program.dispatch.revision = lambda: replica.state.revision
    program.services = [
        replica,
        create_batch_leader(
            context,
            replica,
            program.dispatch,
            platform.lease_ms,
        ),
    ]
    handler = OperatorHandler(program.group.calls, platform.data_centres)
    program.sites = [(platform.control_listen, JsonResource(handler.handle))]
    return program


def create_entry(context: Context, platform: PlatformSettings) -> Program:
    """Create the program that accepts requests of callers."""
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
    program.drain_seconds = ENTRY_DRAIN_SECONDS
    return program


def create_agent(context: Context, platform: PlatformSettings) -> Program:
    """Create the program that manages the runs of one worker.

    Raises:
        SettingsError: the settings have no worker address.
    """
    if platform.worker_address is None:
        raise SettingsError(
            f'{platform.source}: the worker address (app) is missing'
        )
    program = Program(context, platform, Role.agent)
    run_reconciler = RunReconciler(
        HttpWorker(platform.worker_address, context.reactor),
        program.group.calls,
        context.reactor,
    )
    program.dispatch.handle(
        Method.worker_orders,
        WorkerOrders,
        lambda link, orders: run_reconciler.apply_orders(orders),
    )
    handler = AnnouncementHandler(run_reconciler, platform.data_centre)
    program.sites = [(platform.control_listen, JsonResource(handler.handle))]
    return program
