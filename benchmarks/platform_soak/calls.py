"""HTTP calls, each on a connection of its own or on one that is kept."""

import json
from collections.abc import Callable
from typing import Any, cast, final

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory, Protocol

from wasabiturn.connection.endpoint import Endpoint
from wasabiturn.connection.http_messages import HttpRequest, encode_request
from wasabiturn.connection.http_reader import ResponseReader

NO_ANSWER = 0
# Servers close connections that are idle for 15 s.
MAX_IDLE_SECONDS = 8.0


@final
@attrs.frozen
class Answer:
    """Answer to a call; the status is ``NO_ANSWER`` if none came in time."""

    status: int
    body: bytes = b''

    def field(self, name: str) -> str:
        """Return a text field of the body; empty if there is none."""
        fields = json.loads(self.body) if self.body else {}
        return str(fields.get(name, ''))


@final
class _Call(Protocol):
    """Connection that sends one request and reads the answer."""

    def __init__(self, request: bytes, answered: Deferred[Answer]) -> None:
        self._request = request
        self._answered = answered
        self._reader = ResponseReader(self._handle_response)

    def connectionMade(self) -> None:
        """Send the request."""
        cast(Any, self.transport).write(self._request)

    def dataReceived(self, received: bytes) -> None:
        """Read the response."""
        self._reader.feed(received)

    def connectionLost(self, reason: Any = None) -> None:
        """Tell that no answer came, unless one has."""
        _settle(self._answered, Answer(NO_ANSWER))

    def _handle_response(self, status: int, body: bytes) -> None:
        _settle(self._answered, Answer(status, body))
        cast(Any, self.transport).loseConnection()


@final
class _CallFactory(ClientFactory):
    noisy = False

    def __init__(self, call: Protocol, answered: Deferred[Answer]) -> None:
        self._call = call
        self._answered = answered

    def buildProtocol(self, addr: Any) -> Protocol:
        """Return the only connection."""
        return self._call

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """Tell that no answer came."""
        _settle(self._answered, Answer(NO_ANSWER))


def send_call(
    reactor: Any,
    endpoint: Endpoint,
    request: HttpRequest,
    host: str,
    timeout_seconds: float,
) -> Deferred[Answer]:
    """Send a request; the Deferred does not fail."""
    answered: Deferred[Answer] = Deferred()
    call = _Call(encode_request(request, host), answered)
    connector = reactor.connectTCP(
        endpoint.host,
        endpoint.port,
        _CallFactory(call, answered),
        timeout=timeout_seconds,
    )
    return _await(reactor, answered, timeout_seconds, connector.disconnect)


@final
class _KeptConnection(Protocol):
    """Connection that carries one call after the other."""

    def __init__(self, pool: 'CallPool', endpoint: Endpoint) -> None:
        self.idle_since = 0.0
        self._pool = pool
        self._endpoint = endpoint
        self._answered: Deferred[Answer] = Deferred()
        self._request = b''
        self._reader = ResponseReader(self._handle_response)

    def send(self, request: bytes, answered: Deferred[Answer]) -> None:
        """Send a request, now or once the connection is open."""
        self._answered = answered
        self._request = request
        if self.connected:
            cast(Any, self.transport).write(request)

    def abort(self) -> None:
        """End the connection, if it was ever open."""
        if self.transport is not None:
            cast(Any, self.transport).abortConnection()

    def connectionMade(self) -> None:
        """Send the first request."""
        cast(Any, self.transport).write(self._request)

    def dataReceived(self, received: bytes) -> None:
        """Read the response."""
        self._reader.feed(received)

    def connectionLost(self, reason: Any = None) -> None:
        """Tell that no answer came, and leave the pool."""
        self._pool.remove(self._endpoint, self)
        _settle(self._answered, Answer(NO_ANSWER))

    def _handle_response(self, status: int, body: bytes) -> None:
        if self._reader.keeps_alive():
            self._pool.add(self._endpoint, self)
        else:
            cast(Any, self.transport).loseConnection()
        _settle(self._answered, Answer(status, body))


@final
@attrs.define(eq=False)
class CallPool:
    """Connections that clients go on using until the process is gone."""

    reactor: Any
    _idle_by_endpoint: dict[Endpoint, list[_KeptConnection]] = attrs.field(
        factory=dict
    )

    def send(
        self,
        endpoint: Endpoint,
        request: HttpRequest,
        host: str,
        timeout_seconds: float,
    ) -> Deferred[Answer]:
        """Send a request; the Deferred does not fail."""
        answered: Deferred[Answer] = Deferred()
        connection = self._take(endpoint)
        if connection is None:
            connection = _KeptConnection(self, endpoint)
            self.reactor.connectTCP(
                endpoint.host,
                endpoint.port,
                _CallFactory(connection, answered),
                timeout=timeout_seconds,
            )
        connection.send(encode_request(request, host), answered)
        return _await(self.reactor, answered, timeout_seconds, connection.abort)

    def add(self, endpoint: Endpoint, connection: _KeptConnection) -> None:
        """Keep a connection whose call was answered."""
        connection.idle_since = self.reactor.seconds()
        self._idle_by_endpoint.setdefault(endpoint, []).append(connection)

    def remove(self, endpoint: Endpoint, connection: _KeptConnection) -> None:
        """Forget a connection that was lost."""
        idle = self._idle_by_endpoint.get(endpoint, [])
        if connection in idle:
            idle.remove(connection)

    def _take(self, endpoint: Endpoint) -> _KeptConnection | None:
        """Return an idle connection that its server does not close now."""
        idle = self._idle_by_endpoint.get(endpoint, [])
        oldest = self.reactor.seconds() - MAX_IDLE_SECONDS
        while idle:
            connection = idle.pop()
            if connection.idle_since > oldest:
                return connection
            cast(Any, connection.transport).loseConnection()
        return None


def _settle(answered: Deferred[Answer], answer: Answer) -> None:
    if not answered.called:
        answered.callback(answer)


def _await(
    reactor: Any,
    answered: Deferred[Answer],
    timeout_seconds: float,
    abort: Callable[[], None],
) -> Deferred[Answer]:
    """Abort a call that is not answered in time."""

    def expire() -> None:
        _settle(answered, Answer(NO_ANSWER))
        abort()

    timer = reactor.callLater(timeout_seconds, expire)
    return answered.addCallback(_cancel_timer, timer)


def _cancel_timer(answer: Answer, timer: Any) -> Answer:
    if timer.active():
        timer.cancel()
    return answer
