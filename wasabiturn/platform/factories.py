"""The programs that run on the platform, assembled from the product's parts."""

from typing import Any

from wasabiturn.exceptions import SettingsError
from wasabiturn.messages.batch import WorkerOrders
from wasabiturn.messages.kinds import Method, Role
from wasabiturn.platform.announcements import AnnouncementDesk
from wasabiturn.platform.callers import CallerDesk
from wasabiturn.platform.http_server import (
    OK,
    UNAVAILABLE,
    JsonResource,
    Reply,
)
from wasabiturn.platform.operators import OperatorDesk
from wasabiturn.platform.program import Program
from wasabiturn.platform.settings import PlatformSettings
from wasabiturn.platform.worker_client import HttpWorker
from wasabiturn.process.agent.runs import RunReconciler
from wasabiturn.process.control.batch import create_batch_leader
from wasabiturn.process.control.consensus import create_replica
from wasabiturn.process.daemon import Context
from wasabiturn.process.entry.leader_contact import LeaderContact

# How long an entry that stops still takes requests on open connections: the
# balancer needs two misses, a second apart, to leave it.
ENTRY_DRAIN_SECONDS = 3.0


def create_control(context: Context, platform: PlatformSettings) -> Program:
    """Create the program that keeps the state and leads."""
    program = Program(context, platform, Role.control)
    program.accepts_links = True
    replica = create_replica(context, program.dispatch)
    program.dispatch.revision = lambda: replica.state.revision
    program.parts = [
        replica,
        create_batch_leader(
            context,
            replica,
            program.dispatch,
            platform.lease_ms,
        ),
    ]
    desk = OperatorDesk(program.group.calls, platform.data_centres)
    program.sites = [(platform.control_listen, JsonResource(desk.handle))]
    return program


def create_entry(context: Context, platform: PlatformSettings) -> Program:
    """Create the program that callers reach."""
    program = Program(context, platform, Role.entry)
    contact = LeaderContact(program.group.calls, context.reactor)
    callers = JsonResource(
        CallerDesk(program.group.calls, contact.is_fresh).handle,
    )

    def tell_ready(request: Any, body: bytes) -> Reply:
        is_ready = contact.is_fresh() and not callers.is_closing
        return Reply(status=OK if is_ready else UNAVAILABLE)

    program.parts = [contact]
    program.sites = [
        (platform.callers_listen, callers),
        (platform.ready_listen, JsonResource(tell_ready)),
    ]
    program.drain_seconds = ENTRY_DRAIN_SECONDS
    return program


def create_agent(context: Context, platform: PlatformSettings) -> Program:
    """Create the program beside a worker.

    Raises:
        SettingsError: the settings name no worker.
    """
    if platform.worker_address is None:
        raise SettingsError(f'{platform.source}: names no worker')
    program = Program(context, platform, Role.agent)
    keeper = RunReconciler(
        HttpWorker(platform.worker_address, context.reactor),
        program.group.calls,
        context.reactor,
    )
    program.dispatch.handle(
        Method.worker_orders,
        WorkerOrders,
        lambda link, orders: keeper.apply_orders(orders),
    )
    desk = AnnouncementDesk(keeper, platform.data_centre)
    program.sites = [(platform.control_listen, JsonResource(desk.handle))]
    return program
