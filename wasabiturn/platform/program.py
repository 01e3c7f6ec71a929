"""What each program on the platform has: links, sites, reload, draining."""

import secrets
from contextlib import ExitStack
from random import SystemRandom
from types import MappingProxyType
from typing import Any, final

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import LoopingCall, deferLater

from wasabiturn.connection.dialer import Endpoint, LinkFactory
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.link import PROTOCOL_VERSION
from wasabiturn.messages.kinds import Role
from wasabiturn.messages.link import Hello
from wasabiturn.platform.http_server import JsonResource, open_site
from wasabiturn.platform.reload import SettingsWatch
from wasabiturn.platform.settings import PlatformSettings
from wasabiturn.process.control_group import ControlGroup
from wasabiturn.process.daemon import Context, Service, listen
from wasabiturn.process.exposition import open_metrics_site

RELOAD_SECONDS = 1.0
FINISH_SECONDS = 1.7
LOOK_SECONDS = 0.05
_INCARNATION_BYTES = 8
# The deploy file names the same ports.
METRICS_PORTS_BY_ROLE = MappingProxyType(
    {Role.control: 9101, Role.entry: 9102, Role.agent: 9103},
)


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
        self._ports: list[Any] = []
        self._stack = ExitStack()

    def start(self) -> None:
        """Open ports and begin to work."""
        if self.accepts_links:
            self._listen_for_links()
        for part in self.parts:
            self._stack.callback(part.close)
            part.start()
        for endpoint, resource in self.sites:
            if endpoint is not None:
                port = open_site(self.context.reactor, endpoint, resource)
                self._ports.append(port)
                self._stack.callback(port.stopListening)
        self._open_metrics()
        self._stack.callback(self.group.stop)
        self.group.start()
        self._watch_settings()

    def drain(self) -> Deferred[None]:
        """Finish what callers wait for, then stop each part."""
        for _, resource in self.sites:
            resource.is_closing = True
        drained: Deferred[Any] = succeed(None)
        if self.drain_seconds:
            drained = deferLater(self.context.reactor, self.drain_seconds)
            drained.addCallback(lambda _: self._close_ports())
            drained.addCallback(lambda _: self._finish_requests())
        for part in reversed(self.parts):
            drained.addCallback(_drain, part)
        return drained

    def close(self) -> None:
        """Release ports, links and files."""
        self._stack.close()

    def _open_metrics(self) -> None:
        port = METRICS_PORTS_BY_ROLE[self.dispatch.hello.role]
        endpoint = Endpoint(self.platform.address, port)
        opened = open_metrics_site(self.context.reactor, endpoint)
        self._stack.callback(opened.stopListening)

    def _listen_for_links(self) -> None:
        reactor = self.context.reactor
        factory = LinkFactory(self.dispatch, reactor, dialled=False)
        endpoint = Endpoint(self.platform.address, self.platform.link_port)
        port = listen(reactor, endpoint, factory)
        self._stack.callback(port.stopListening)

    def _watch_settings(self) -> None:
        watch = SettingsWatch(self.platform, self.group)
        self.context.on_reload.append(watch.reload)
        ticker = LoopingCall(watch.reload)
        ticker.clock = self.context.reactor
        self._stack.callback(ticker.stop)
        ticker.start(RELOAD_SECONDS, now=False)

    def _close_ports(self) -> None:
        for port in self._ports:
            port.stopListening()

    def _finish_requests(self) -> Deferred[None]:
        reactor = self.context.reactor
        deadline = reactor.seconds() + FINISH_SECONDS
        finished: Deferred[None] = Deferred()

        def look() -> None:
            busy = any(resource.in_flight for _, resource in self.sites)
            if busy and reactor.seconds() < deadline:
                reactor.callLater(LOOK_SECONDS, look)
            else:
                finished.callback(None)

        look()
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


def _drain(_: Any, part: Service) -> Deferred[None]:
    return part.drain()
