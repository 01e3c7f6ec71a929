"""Outbound links, which are reopened when lost, and link factories."""

from random import Random
from typing import Any, final

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory

from wasabiturn.connection.client_claims import Rank
from wasabiturn.connection.client_guard import ClientGuard
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.endpoint import Endpoint
from wasabiturn.connection.link import Link

FIRST_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 1.0


@final
class LinkFactory(Factory):
    """Factory of links for accepted or dialled connections.

    With a ``guard``, it refuses a connection when there are too many.
    """

    noisy = False

    def __init__(
        self,
        dispatch: Dispatch,
        clock: Any,
        dialled: bool,
        guard: ClientGuard | None = None,
    ) -> None:
        """Create a factory whose links share ``dispatch``."""
        self.guard = guard
        self.dispatch = dispatch
        self.clock = clock
        self.dialled = dialled

    def buildProtocol(self, addr: IAddress | None) -> Link | None:
        """Build the link of one connection."""
        if self.guard is not None and not self.guard.admits(Rank.trusted):
            return None
        return Link(
            dispatch=self.dispatch,
            clock=self.clock,
            dialled=self.dialled,
            guard=self.guard,
        )


@final
class Dialer:
    """Keeps a link to one endpoint open; reconnects when it is lost."""

    def __init__(
        self,
        endpoint: Endpoint,
        dispatch: Dispatch,
        reactor: Any,
        random: Random,
    ) -> None:
        """Create a dialer; ``start`` makes it connect."""
        self.endpoint = endpoint
        self.link: Link | None = None
        self._dispatch = dispatch
        self._reactor = reactor
        self._random = random
        self._retry_seconds = FIRST_RETRY_SECONDS
        self._stopped = False
        self._timer: Any = None
        self._factory: _DialledFactory | None = None

    def start(self) -> None:
        """Connect now."""
        self._timer = None
        if self._stopped:
            return
        self._factory = _DialledFactory(
            self._dispatch,
            self._reactor,
            self,
        )
        self._reactor.connectTCP(
            self.endpoint.host,
            self.endpoint.port,
            self._factory,
            timeout=CONNECT_TIMEOUT_SECONDS,
        )

    def stop(self) -> None:
        """Close the link and do not reconnect."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        if self._factory is not None:
            self._factory.close()

    def link_opened(self, link: Link) -> None:
        """Start using the link, and reset the delay of retries."""
        self.link = link
        self._retry_seconds = FIRST_RETRY_SECONDS

    def link_closed(self, link: Link) -> None:
        """Stop using the link."""
        if self.link is link:
            self.link = None

    def schedule_retry(self) -> None:
        """Reconnect after a random delay, doubled with each failure."""
        if self._stopped or self._timer is not None:
            return
        delay_seconds = self._retry_seconds * self._random.uniform(0.5, 1.0)
        self._retry_seconds = min(self._retry_seconds * 2, MAX_RETRY_SECONDS)
        self._timer = self._reactor.callLater(delay_seconds, self.start)


@final
class _DialledFactory(Factory):
    """Client factory of one connection attempt of a dialer."""

    noisy = False

    def __init__(
        self,
        dispatch: Dispatch,
        reactor: Any,
        dialer: Dialer,
    ) -> None:
        self._dispatch = dispatch
        self._reactor = reactor
        self._dialer = dialer
        self._link: Link | None = None
        self._connector: Any = None

    def startedConnecting(self, connector: Any) -> None:
        """Keep the connector so that ``close`` can disconnect it."""
        self._connector = connector

    def buildProtocol(self, addr: IAddress | None) -> Link:
        """Build the dialled side of the link."""
        self._link = Link(
            dispatch=self._dispatch,
            clock=self._reactor,
            dialled=True,
        )
        self._link.on_open.append(self._dialer.link_opened)
        self._link.on_close.append(self._dialer.link_closed)
        return self._link

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """Retry after a delay."""
        self._dialer.schedule_retry()

    def clientConnectionLost(self, connector: Any, reason: Any) -> None:
        """Reconnect after a delay."""
        self._dialer.schedule_retry()

    def close(self) -> None:
        """Cancel the attempt or close the link."""
        if self._connector is not None:
            self._connector.disconnect()
