"""One HTTP call on a connection of its own."""

import json
from typing import Any, cast, final

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory, Protocol

from wasabiturn.connection.endpoint import Endpoint
from wasabiturn.connection.http_messages import HttpRequest, encode_request
from wasabiturn.connection.http_reader import ResponseReader

NO_ANSWER = 0


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

    def __init__(self, call: _Call, answered: Deferred[Answer]) -> None:
        self._call = call
        self._answered = answered

    def buildProtocol(self, addr: Any) -> _Call:
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
    timer = reactor.callLater(timeout_seconds, _expire, answered, connector)
    return answered.addCallback(_cancel_timer, timer)


def _settle(answered: Deferred[Answer], answer: Answer) -> None:
    if not answered.called:
        answered.callback(answer)


def _expire(answered: Deferred[Answer], connector: Any) -> None:
    connector.disconnect()
    _settle(answered, Answer(NO_ANSWER))


def _cancel_timer(answer: Answer, timer: Any) -> Answer:
    if timer.active():
        timer.cancel()
    return answer
