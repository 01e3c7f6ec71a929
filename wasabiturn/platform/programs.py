"""The programs that run on the platform, assembled from the product's parts."""

import secrets
from contextlib import ExitStack
from random import SystemRandom
from typing import Any, final

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import LoopingCall, deferLater

from wasabiturn.connection.dialer import Endpoint, LinkFactory
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.link import PROTOCOL_VERSION
from wasabiturn.exceptions import SettingsError
from wasabiturn.messages.batch import WorkerOrders
from wasabiturn.messages.kinds import Method, Role
from wasabiturn.messages.link import Hello
from wasabiturn.platform.announcements import AnnouncementDesk
from wasabiturn.platform.callers import CallerDesk
from wasabiturn.platform.http_server import (
    OK,
    UNAVAILABLE,
    JsonResource,
    Reply,
    open_site,
)
from wasabiturn.platform.operators import OperatorDesk
from wasabiturn.platform.settings import (
    PlatformSettings,
    read_platform_settings,
)
from wasabiturn.platform.worker_client import HttpWorker
from wasabiturn.process.agent.runs import RunKeeper
from wasabiturn.process.control.batch import create_batch_leader
from wasabiturn.process.control.consensus import create_replica
from wasabiturn.process.control_group import ControlGroup
from wasabiturn.process.daemon import Context, Service, listen
from wasabiturn.process.entry.leader_contact import LeaderContact
from wasabiturn.utils.logs import create_part_log

RELOAD_SECONDS = 1.0
# How long an entry that stops still takes requests on open connections: the
# balancer needs two misses, a second apart, to leave it.
ENTRY_DRAIN_SECONDS = 3.0
ENTRY_FINISH_SECONDS = 1.7
_INCARNATION_BYTES = 8

_log = create_part_log('platform')


@final
class SettingsWatch:
    """Reads the settings file anew, on a signal and without one."""

    def __init__(self, platform: PlatformSettings, group: ControlGroup) -> None:
        """Watch the file that ``platform`` was read from."""
        self._platform = platform
        self._group = group

    def reload(self) -> None:
        """Use the seeds of the file, if it can be read."""
        try:
            read = read_platform_settings(self._platform.source)
        except SettingsError as error:
            _log.warning('settings not read', error=str(error))
            return
        if read.seeds != self._platform.seeds:
            _log.event('seeds changed', seeds=list(read.seeds))
            self._group.use_seeds(read.seeds)
        self._platform = read


@final
class Program:
    """Parts of one process, started in order and stopped in reverse."""

    def __init__(
        self,
        context: Context,
        platform: PlatformSettings,
        role: Role,
    ) -> None:
        """Create the parts that each program has."""
        self.context = context
        self.platform = platform
        self.dispatch = _create_dispatch(platform, role)
        self.group = ControlGroup(
            seeds=platform.seeds,
            port=platform.link_port,
            dispatch=self.dispatch,
            reactor=context.reactor,
            random=SystemRandom(),
        )
        self.parts: list[Service] = []
        self.sites: list[tuple[Endpoint | None, JsonResource]] = []
        self.accepts_links = False
        self.drain_seconds = 0.0
        self._watch = SettingsWatch(platform, self.group)
        self._ports: list[Any] = []
        self._stack = ExitStack()

    def start(self) -> None:
        """Open ports and begin to work."""
        reactor = self.context.reactor
        if self.accepts_links:
            factory = LinkFactory(self.dispatch, reactor, dialled=False)
            endpoint = Endpoint(self.platform.address, self.platform.link_port)
            self._own(listen(reactor, endpoint, factory))
        for part in self.parts:
            self._stack.callback(part.close)
            part.start()
        for site_endpoint, resource in self.sites:
            if site_endpoint is not None:
                port = open_site(reactor, site_endpoint, resource)
                self._ports.append(port)
                self._own(port)
        self._stack.callback(self.group.stop)
        self.group.start()
        self.context.on_reload.append(self._watch.reload)
        watch = LoopingCall(self._watch.reload)
        watch.clock = reactor
        self._stack.callback(watch.stop)
        watch.start(RELOAD_SECONDS, now=False)

    def drain(self) -> Deferred[None]:
        """Finish what callers wait for, then stop each part."""
        for _, resource in self.sites:
            resource.is_closing = True
        reactor = self.context.reactor
        drained: Deferred[Any] = succeed(None)
        if self.drain_seconds:
            drained = deferLater(reactor, self.drain_seconds)
            drained.addCallback(lambda _: self._close_ports())
            drained.addCallback(lambda _: self._finish_requests())
        for part in reversed(self.parts):
            drained.addCallback(_drain, part)
        return drained

    def close(self) -> None:
        """Release ports, links and files."""
        self._stack.close()

    def _own(self, port: Any) -> None:
        self._stack.callback(port.stopListening)

    def _close_ports(self) -> None:
        for port in self._ports:
            port.stopListening()

    def _finish_requests(self) -> Deferred[None]:
        reactor = self.context.reactor
        deadline = reactor.seconds() + ENTRY_FINISH_SECONDS
        finished: Deferred[None] = Deferred()

        def look() -> None:
            busy = any(resource.in_flight for _, resource in self.sites)
            if not busy or reactor.seconds() >= deadline:
                finished.callback(None)
            else:
                reactor.callLater(0.05, look)

        look()
        return finished


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
    callers = JsonResource(CallerDesk(program.group.calls).handle)

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
    """Create the program beside a worker."""
    if platform.worker_address is None:
        raise SettingsError(f'{platform.source}: names no worker')
    program = Program(context, platform, Role.agent)
    keeper = RunKeeper(
        HttpWorker(platform.worker_address, context.reactor),
        program.group.calls,
        context.reactor,
    )
    program.dispatch.handle(
        Method.worker_orders,
        WorkerOrders,
        lambda link, orders: keeper.take_orders(orders),
    )
    desk = AnnouncementDesk(keeper, platform.data_centre)
    program.sites = [(platform.control_listen, JsonResource(desk.handle))]
    return program


def _create_dispatch(platform: PlatformSettings, role: Role) -> Dispatch:
    return Dispatch(
        hello=Hello(
            name=platform.address,
            role=role,
            incarnation=secrets.token_hex(_INCARNATION_BYTES),
            data_centre=platform.data_centre,
            protocol_version=PROTOCOL_VERSION,
        ),
    )


def _drain(_: Any, part: Service) -> Deferred[None]:
    return part.drain()
