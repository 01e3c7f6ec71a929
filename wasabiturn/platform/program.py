"""Parts common to all programs: links, HTTP sites, reload and draining."""

import secrets
from contextlib import ExitStack
from random import SystemRandom
from types import MappingProxyType
from typing import Any, final

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import deferLater

from wasabiturn.connection.client_guard import ClientGuard, create_bounds
from wasabiturn.connection.dialer import LinkFactory
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.endpoint import Endpoint
from wasabiturn.connection.http_site import HttpSite
from wasabiturn.connection.link import PROTOCOL_VERSION
from wasabiturn.messages.kinds import Role
from wasabiturn.messages.link import Hello
from wasabiturn.platform.addresses import Address, create_site
from wasabiturn.platform.reload import SettingsReloader
from wasabiturn.platform.settings import PlatformSettings
from wasabiturn.process import exposition
from wasabiturn.process.control_group import ControlGroup
from wasabiturn.process.daemon import Component, Context, listen
from wasabiturn.process.group_gap import GroupGapReporter, find_contact_gap
from wasabiturn.utils.pauses import PauseDetector
from wasabiturn.utils.ticker import Ticker

# A change is also announced by SIGHUP.
RELOAD_INTERVAL_SECONDS = 5.0
IN_FLIGHT_TIMEOUT_SECONDS = 1.7
IN_FLIGHT_POLL_SECONDS = 0.05
_INCARNATION_BYTES = 8
# Must match the ports in the deploy file.
METRICS_PORTS_BY_ROLE = MappingProxyType(
    {Role.control: 9101, Role.entry: 9102, Role.agent: 9103},
)


@final
class Program:
    """Services of one process, started in order and stopped in reverse."""

    def __init__(
        self,
        context: Context,
        platform: PlatformSettings,
        role: Role,
    ) -> None:
        """Create the parts that are common to all programs."""
        self.context = context
        self.platform = platform
        self.dispatch = _create_dispatch(platform, role)
        self.group = ControlGroup(
            seeds=platform.seeds,
            port=platform.link_port,
            dispatch=self.dispatch,
            reactor=context.reactor,
            random=SystemRandom(),
            links_to_all=role is Role.control,
        )
        self.services: list[Component] = []
        if role is not Role.control:
            self.services.append(
                GroupGapReporter(
                    lambda: find_contact_gap(self.group), context.reactor
                )
            )
        self.guard = ClientGuard(
            context.reactor,
            create_bounds(platform.memory_mb, platform.max_fds),
            exposition.count_rejection,
        )
        self.dispatch.max_unsent_bytes = self.guard.bounds.link_bytes
        self.dispatch.count_unsent = exposition.unsent_messages.inc
        self.addresses: list[Address] = []
        # For programs whose clients ask another instance after a while.
        self.pause_detector: PauseDetector | None = None
        self.accepts_links = False
        self.drain_seconds = 0.0
        self.is_draining = False
        self.sites: list[HttpSite] = []
        self._ports: list[Any] = []
        self._stack = ExitStack()

    def start(self) -> None:
        """Open the ports and start the services."""
        if self.accepts_links:
            self._listen_for_links()
        if self.pause_detector is not None:
            self._stack.callback(self.pause_detector.stop)
            self.pause_detector.start()
        for service in self.services:
            self._stack.callback(service.close)
            service.start()
        for address in self.addresses:
            if address.endpoint is not None:
                self._open_site(address.endpoint, address)
        self._open_metrics()
        self._stack.callback(self.group.stop)
        self.group.start()
        self._start_reloader()

    def drain(self) -> Deferred[None]:
        """Finish the requests in flight, then drain each service."""
        self.is_draining = True
        for site in self.sites:
            site.is_closing = True
        drained: Deferred[Any] = succeed(None)
        if self.drain_seconds:
            drained = deferLater(self.context.reactor, self.drain_seconds)
            drained.addCallback(lambda _: self._close_ports())
            drained.addCallback(lambda _: self._finish_requests())
        for service in reversed(self.services):
            drained.addCallback(_drain_service, service)
        return drained

    def close(self) -> None:
        """Close ports, links and files."""
        self._stack.close()

    def _open_site(self, endpoint: Endpoint, address: Address) -> None:
        reactor = self.context.reactor
        site = create_site(address, reactor, self.guard, self.pause_detector)
        port = self._listen(endpoint, site)
        self.sites.append(site)
        self._ports.append(port)
        self._stack.callback(port.stopListening)

    def _listen(self, endpoint: Endpoint, factory: Any) -> Any:
        backlog = self.guard.bounds.backlog
        return listen(self.context.reactor, endpoint, factory, backlog)

    def _open_metrics(self) -> None:
        port = METRICS_PORTS_BY_ROLE[self.dispatch.hello.role]
        endpoint = Endpoint(self.platform.address, port)
        listening_port = exposition.open_metrics_site(
            self.context.reactor, endpoint, self.guard
        )
        self._stack.callback(listening_port.stopListening)

    def _listen_for_links(self) -> None:
        reactor = self.context.reactor
        factory = LinkFactory(
            self.dispatch, reactor, dialled=False, guard=self.guard
        )
        endpoint = Endpoint(self.platform.address, self.platform.link_port)
        port = self._listen(endpoint, factory)
        self._stack.callback(port.stopListening)

    def _start_reloader(self) -> None:
        reloader = SettingsReloader(self.platform, self.group)
        self.context.on_reload.append(reloader.reload)
        ticker = Ticker(reloader.reload, self.context.reactor)
        self._stack.callback(ticker.stop)
        ticker.start(RELOAD_INTERVAL_SECONDS, now=False)

    def _close_ports(self) -> None:
        for port in self._ports:
            port.stopListening()

    def _finish_requests(self) -> Deferred[None]:
        reactor = self.context.reactor
        deadline = reactor.seconds() + IN_FLIGHT_TIMEOUT_SECONDS
        finished: Deferred[None] = Deferred()

        def check() -> None:
            is_busy = any(each.server.in_flight for each in self.addresses)
            if is_busy and reactor.seconds() < deadline:
                reactor.callLater(IN_FLIGHT_POLL_SECONDS, check)
            else:
                finished.callback(None)

        check()
        return finished


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


def _drain_service(_: Any, service: Component) -> Deferred[None]:
    return service.drain()
