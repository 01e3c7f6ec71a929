"""The program that manages the runs of one worker."""

from wasabiturn.connection.http_limits import HEARTBEAT_LIMITS
from wasabiturn.exceptions import SettingsError
from wasabiturn.messages.batch import WorkerOrders
from wasabiturn.messages.kinds import Method, Role
from wasabiturn.platform.addresses import Address
from wasabiturn.platform.announcements import AnnouncementHandler
from wasabiturn.platform.http_server import JsonServer
from wasabiturn.platform.program import Program
from wasabiturn.platform.settings import PlatformSettings
from wasabiturn.platform.worker_client import HttpWorker
from wasabiturn.process.agent.runs import RunReconciler
from wasabiturn.process.daemon import Context


def create_program(context: Context, platform: PlatformSettings) -> Program:
    """Create the agent of this process.

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
    handler = AnnouncementHandler(
        run_reconciler, platform.data_centre, platform.worker_limits
    )
    program.addresses = [
        Address(
            platform.control_listen,
            JsonServer(handler.handle),
            limits=HEARTBEAT_LIMITS,
        ),
    ]
    return program
