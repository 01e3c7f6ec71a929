"""Pool of HTTP/1.1 connections to one backend server."""

import socket
from collections import deque
from collections.abc import Callable
from typing import Any, final

import attrs
from twisted.internet import error as tcp_errors
from twisted.internet.defer import Deferred, succeed
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure
from twisted.web.client import HTTP11ClientProtocol

from wasabiturn.connection.endpoint import Endpoint
from wasabiturn.exceptions import ConnectionLayerError

CONNECT_TIMEOUT_SECONDS = 1.0
IDLE_LIMIT_SECONDS = 10.0
# For requests that must not be sent twice: a server that closes idle
# connections may close one while a request is being sent on it.
FRESH_IDLE_LIMIT_SECONDS = 1.0
TCP_KEEPALIVE_SECONDS = 1
TCP_USER_TIMEOUT_MS = 1500


class BackendConnectError(ConnectionLayerError):
    """No connection could be opened, so no byte of the request was sent."""


@final
class BackendRefusedError(BackendConnectError):
    """The backend server refused the connection: nothing listens there."""


@final
class BackendConnection(HTTP11ClientProtocol):
    """Connection to a backend server; carries one request at a time."""

    def __init__(self, on_reusable: Callable[..., None]) -> None:
        """Create a connection that calls ``on_reusable`` after each request.

        It is not called if the connection cannot be reused.
        """
        super().__init__(on_reusable)
        self.idle_since = 0.0
        self.on_lost: Callable[[BackendConnection], None] | None = None

    def connectionMade(self) -> None:
        """Set TCP options so that the kernel detects an unreachable peer."""
        super().connectionMade()
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        transport.setTcpKeepAlive(True)
        for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL):
            self._set_tcp_option(option, TCP_KEEPALIVE_SECONDS)
        self._set_tcp_option(socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Fail or finish the current request, then notify the pool."""
        super().connectionLost(reason)
        self._notify_lost()

    def drop(self) -> None:
        """Close the connection at once; the current request fails."""
        if self.transport is not None:
            self.transport.abortConnection()
        self._notify_lost()

    def _notify_lost(self) -> None:
        if self.on_lost is not None:
            self.on_lost(self)
            self.on_lost = None

    def _set_tcp_option(self, option: int, setting: int) -> None:
        transport: Any = self.transport
        if hasattr(transport, 'getHandle'):
            handle = transport.getHandle()
            handle.setsockopt(socket.IPPROTO_TCP, option, setting)


@final
@attrs.define
class BackendPool:
    """Connections to one backend server, at most ``limit`` of them."""

    endpoint: Endpoint
    limit: int
    reactor: Any
    open: set[BackendConnection] = attrs.field(factory=set)
    idle: list[BackendConnection] = attrs.field(factory=list)
    connecting: int = 0
    waiters: deque[Deferred[BackendConnection]] = attrs.field(factory=deque)

    def acquire(self, fresh: bool) -> Deferred[BackendConnection]:
        """Return an idle connection, or open one; wait while at the limit.

        With ``fresh``, connections idle for more than
        ``FRESH_IDLE_LIMIT_SECONDS`` are closed first. Fails with
        ``BackendConnectError``.
        """
        now = self.reactor.seconds()
        if fresh:
            self.reap(now, FRESH_IDLE_LIMIT_SECONDS)
        if self.idle:
            return succeed(self.idle.pop())
        return self.connect()

    def connect(self) -> Deferred[BackendConnection]:
        """Open a connection, even if one is idle; wait while at the limit.

        Fails with ``BackendConnectError``.
        """
        if len(self.open) + self.connecting >= self.limit:
            waiter: Deferred[BackendConnection] = Deferred()
            self.waiters.append(waiter)
            return waiter
        return self._connect()

    def release(self, connection: BackendConnection) -> None:
        """Return to the pool a connection without a current request."""
        if connection in self.open and len(self.open) > self.limit:
            connection.drop()
        elif connection in self.open and self.waiters:
            self.waiters.popleft().callback(connection)
        elif connection in self.open:
            connection.idle_since = self.reactor.seconds()
            self.idle.append(connection)

    def reap(self, now: float, limit_seconds: float) -> None:
        """Close connections that were idle for more than ``limit_seconds``."""
        for connection in list(self.idle):
            if now - connection.idle_since > limit_seconds:
                self._discard(connection)

    def close_idle(self) -> None:
        """Close every idle connection."""
        for connection in list(self.idle):
            self._discard(connection)

    def _discard(self, connection: BackendConnection) -> None:
        connection.drop()

    def _connect(self) -> Deferred[BackendConnection]:
        opened: Deferred[BackendConnection] = Deferred()
        self.connecting += 1
        self.reactor.connectTCP(
            self.endpoint.host,
            self.endpoint.port,
            _ConnectFactory(pool=self, opened=opened),
            timeout=CONNECT_TIMEOUT_SECONDS,
        )
        return opened

    def handle_open(self, connection: BackendConnection) -> None:
        """Add a connection that was opened."""
        self.connecting -= 1
        self.open.add(connection)

    def handle_lost(self, connection: BackendConnection) -> None:
        """Remove a connection that was closed or lost."""
        self.open.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        self._serve_waiter()

    def handle_failed(self) -> None:
        """Handle a connection attempt that failed."""
        self.connecting -= 1
        self._serve_waiter()

    def _serve_waiter(self) -> None:
        if self.waiters and len(self.open) + self.connecting < self.limit:
            waiter = self.waiters.popleft()
            self._connect().addCallbacks(waiter.callback, waiter.errback)


@final
class _ConnectFactory(ClientFactory):
    """Client factory of one connection of a pool."""

    noisy = False

    def __init__(
        self,
        pool: BackendPool,
        opened: Deferred[BackendConnection],
    ) -> None:
        self._pool = pool
        self._opened = opened

    def buildProtocol(self, addr: IAddress | None) -> BackendConnection:
        """Build the connection and add it to the pool."""
        connection = BackendConnection(self._pool.release)
        connection.on_lost = self._pool.handle_lost
        self._pool.handle_open(connection)
        reactor = self._pool.reactor
        reactor.callLater(0, self._opened.callback, connection)
        return connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Fail the acquisition: no connection was opened."""
        kind = BackendConnectError
        if reason.check(tcp_errors.ConnectionRefusedError):
            kind = BackendRefusedError
        error = kind(reason.getErrorMessage())
        self._opened.errback(error)
        self._pool.handle_failed()
