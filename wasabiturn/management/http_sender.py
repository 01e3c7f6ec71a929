"""Sends requests of the commands over HTTP with Twisted's client."""

import json
from io import BytesIO
from typing import Any, NoReturn, final

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError
from twisted.python.failure import Failure as TwistedFailure
from twisted.web.client import Agent, FileBodyProducer, readBody
from twisted.web.http_headers import Headers

from wasabiturn.exceptions import ConnectionLayerError
from wasabiturn.management.http_client import (
    ATTEMPT_SECONDS,
    HttpAnswer,
    HttpRequest,
)

CONNECT_TIMEOUT_SECONDS = 2.0


@final
class LostAnswerError(ConnectionLayerError):
    """No whole answer came; ``never_connected`` means nothing was sent."""

    def __init__(self, message: str, never_connected: bool) -> None:
        """Create the error of one attempt."""
        super().__init__(message)
        self.never_connected = never_connected


@final
class HttpClientSender:
    """Sender over TCP."""

    def __init__(self, reactor: Any) -> None:
        """Create a sender without kept connections."""
        self._reactor = reactor
        self._agent = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_SECONDS)

    def send(self, server: str, request: HttpRequest) -> Deferred[HttpAnswer]:
        """Send ``request`` to ``server`` and read the whole answer."""
        sent = self.open(server, request)
        sent.addCallback(self._read)
        sent.addTimeout(ATTEMPT_SECONDS, self._reactor)
        return sent.addErrback(_turn)

    def open(self, server: str, request: HttpRequest) -> Deferred[Any]:
        """Send ``request``; fires with the response before its body."""
        headers = Headers()
        for name, text in request.headers.items():
            headers.addRawHeader(name, text)
        body = _create_body(request.body) if request.body else None
        return self._agent.request(
            request.method.encode(),
            f'http://{server}{request.path}'.encode(),
            headers,
            body,
        )

    def _read(self, response: Any) -> Deferred[HttpAnswer]:
        outcome = response.headers.getRawHeaders('Wasabiturn-Outcome', [''])

        def parse(body: bytes) -> HttpAnswer:
            parsed = json.loads(body)
            if not isinstance(parsed, dict):
                raise ValueError('the answer is no object')  # noqa: TRY004
            return HttpAnswer(response.code, outcome[0], parsed)

        return readBody(response).addCallback(parse)


def _create_body(body: bytes) -> Any:
    return FileBodyProducer(BytesIO(body))


def _turn(failure: TwistedFailure) -> NoReturn:
    never_connected = failure.check(ConnectError) is not None
    text = str(failure.value) or type(failure.value).__name__
    raise LostAnswerError(text, never_connected) from failure.value
