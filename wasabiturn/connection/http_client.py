"""HTTP/1.1 client of one server, for short messages on kept connections.

A connection ends with the process that has accepted it. So what one response
tells of that process, the *peer* of the connection, holds for all that is sent
on it later, whatever process has the address by then.
"""

from collections.abc import Callable, Hashable
from typing import Any, cast, final

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionLost
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from wasabiturn.connection.endpoint import Endpoint
from wasabiturn.connection.http_messages import (
    HttpError,
    HttpRequest,
    HttpResponse,
    encode_request,
)
from wasabiturn.connection.http_reader import ResponseReader

MAX_IDLE_CONNECTIONS = 5
NEVER = float('-inf')


@final
class HttpTimeoutError(Exception):
    """No response arrived in time; the request may have been carried out."""


PeerReader = Callable[[HttpResponse], Hashable]


@final
@attrs.define
class _Exchange:
    request: HttpRequest
    response: Deferred[HttpResponse]
    sent_at: float
    expires_at: float
    read_peer: PeerReader | None = None
    timer: Any = None

    def succeed(self, response: HttpResponse) -> None:
        if not self.response.called:
            self.timer.cancel()
            self.response.callback(response)

    def fail(self, reason: Any) -> None:
        if not self.response.called:
            if self.timer.active():
                self.timer.cancel()
            self.response.errback(reason)


@final
class HttpClient:
    """Sends requests to one server; opens a connection if none is idle."""

    def __init__(
        self, endpoint: Endpoint, reactor: Any, connect_timeout_seconds: float
    ) -> None:
        """Create the client; it connects with the first request."""
        self.endpoint = endpoint
        self._reactor = reactor
        self._connect_timeout_seconds = connect_timeout_seconds
        self._idle_connections: list[_ClientConnection] = []

    def send(
        self,
        request: HttpRequest,
        timeout_seconds: float,
        read_peer: PeerReader | None = None,
    ) -> Deferred[HttpResponse]:
        """Send a request.

        ``read_peer`` reads from the response who the peer is. The Deferred
        fails with ``HttpTimeoutError`` if there is no response in time, with an
        error of the connection, or with ``HttpError``.
        """
        connection = self._take_idle_connection()
        if connection is None:
            connection = _ClientConnection(self)
            self._connect(connection)
        return self._exchange(connection, request, timeout_seconds, read_peer)

    def send_to_peer(
        self, request: HttpRequest, timeout_seconds: float, peer: Hashable
    ) -> Deferred[HttpResponse] | None:
        """Send a request that no other process than ``peer`` can receive.

        Returns ``None`` if no idle connection is known to be to it.
        """
        for connection in reversed(self._idle_connections):
            if connection.peer == peer:
                self._idle_connections.remove(connection)
                return self._exchange(connection, request, timeout_seconds)
        return None

    def _exchange(
        self,
        connection: '_ClientConnection',
        request: HttpRequest,
        timeout_seconds: float,
        read_peer: PeerReader | None = None,
    ) -> Deferred[HttpResponse]:
        exchange = _Exchange(
            request=request,
            response=Deferred(),
            sent_at=self.now(),
            expires_at=self.now() + timeout_seconds,
            read_peer=read_peer,
        )
        exchange.timer = self._reactor.callLater(
            timeout_seconds, self._expire, exchange, connection
        )
        connection.send(exchange)
        return exchange.response

    def now(self) -> float:
        """Return the time of the loop's clock in seconds."""
        return float(self._reactor.seconds())

    def keep(self, connection: '_ClientConnection') -> None:
        """Keep a connection for the next request."""
        self._idle_connections.append(connection)
        if len(self._idle_connections) > MAX_IDLE_CONNECTIONS:
            self._idle_connections[0].abort()

    def discard(self, connection: '_ClientConnection') -> None:
        """Forget a connection that was lost."""
        if connection in self._idle_connections:
            self._idle_connections.remove(connection)

    def close(self) -> None:
        """Close the idle connections."""
        for connection in list(self._idle_connections):
            connection.abort()

    def _take_idle_connection(self) -> '_ClientConnection | None':
        if self._idle_connections:
            return self._idle_connections.pop()
        return None

    def _connect(self, connection: '_ClientConnection') -> None:
        self._reactor.connectTCP(
            self.endpoint.host,
            self.endpoint.port,
            _ConnectionFactory(connection),
            timeout=self._connect_timeout_seconds,
        )

    def _expire(
        self, exchange: _Exchange, connection: '_ClientConnection'
    ) -> None:
        connection.abort()
        # A fault that silenced one open connection may have silenced all that
        # have not answered since.
        for idle in list(self._idle_connections):
            if idle.heard_at <= exchange.sent_at:
                idle.abort()
        exchange.fail(HttpTimeoutError('no response in time'))


@final
class _ClientConnection(Protocol):
    """Connection that carries one exchange at a time."""

    def __init__(self, client: HttpClient) -> None:
        self.peer: Hashable = None
        self.heard_at = NEVER
        self._client = client
        self._exchange: _Exchange | None = None
        self._is_aborted = False
        self._reader = ResponseReader(self._handle_response)

    def send(self, exchange: _Exchange) -> None:
        self._exchange = exchange
        if self.connected:
            self._write(exchange.request)

    def abort(self) -> None:
        self._is_aborted = True
        self._client.discard(self)
        if self.connected:
            cast(Any, self.transport).abortConnection()

    def fail(self, reason: Any) -> None:
        exchange = self._exchange
        self._exchange = None
        if exchange is not None:
            exchange.fail(reason)

    def connectionMade(self) -> None:
        """Send the request that the connection was opened for, if in time.

        This process may have been paused while the connection was opened.
        """
        exchange = self._exchange
        if self._is_aborted or exchange is None:
            self.abort()
            return
        if self._client.now() >= exchange.expires_at:
            self.fail(HttpTimeoutError('the connection was opened too late'))
            self.abort()
            return
        cast(Any, self.transport).setTcpNoDelay(True)
        self._write(exchange.request)

    def dataReceived(self, received: bytes) -> None:
        """Read the response; abort the connection if it is malformed."""
        self.heard_at = self._client.now()
        try:
            self._reader.feed(received)
        except HttpError as error:
            self.fail(error)
            self.abort()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Fail the exchange, which may have been carried out."""
        self._client.discard(self)
        self.fail(reason or ConnectionLost())

    def _write(self, request: HttpRequest) -> None:
        host = str(self._client.endpoint)
        cast(Any, self.transport).write(encode_request(request, host))

    def _handle_response(self, status: int, body: bytes) -> None:
        exchange = self._exchange
        self._exchange = None
        response = HttpResponse(status=status, body=body)
        if exchange is not None and exchange.read_peer is not None:
            self.peer = exchange.read_peer(response) or self.peer
        if exchange is None or not self._reader.keeps_alive():
            self.abort()
        else:
            self._client.keep(self)
        if exchange is not None:
            exchange.succeed(response)


@final
class _ConnectionFactory(ClientFactory):
    """Factory of one connection."""

    noisy = False

    def __init__(self, connection: _ClientConnection) -> None:
        self._connection = connection

    def buildProtocol(self, addr: Any) -> _ClientConnection:
        """Return the connection that is to be opened."""
        return self._connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Fail the exchange, which was certainly not sent."""
        self._connection.fail(reason)
