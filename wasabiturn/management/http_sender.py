"""Sender of API requests that uses Twisted's HTTP client."""

from io import BytesIO
from typing import Any, NoReturn, final

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError
from twisted.python.failure import Failure as TwistedFailure
from twisted.web.client import Agent, FileBodyProducer, readBody
from twisted.web.http_headers import Headers

from wasabiturn.exceptions import ConnectionLayerError
from wasabiturn.management.http_client import (
    ATTEMPT_TIMEOUT_SECONDS,
    HttpRequest,
    HttpResponse,
)
from wasabiturn.utils.json_text import read_json

CONNECT_TIMEOUT_SECONDS = 2.0


@final
class NoResponseError(ConnectionLayerError):
    """No complete, valid response arrived.

    If ``never_connected`` is true, the request was not sent.
    """

    def __init__(self, message: str, never_connected: bool) -> None:
        """Create the error for one attempt."""
        super().__init__(message)
        self.never_connected = never_connected


@final
class HttpClientSender:
    """Sender that opens a TCP connection for each request."""

    def __init__(self, reactor: Any) -> None:
        """Create a sender without a connection pool."""
        self._reactor = reactor
        self._agent = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_SECONDS)

    def send(self, server: str, request: HttpRequest) -> Deferred[HttpResponse]:
        """Send ``request`` to ``server`` and read the complete response."""
        sent = self.open(server, request)
        sent.addCallback(self._read)
        sent.addTimeout(ATTEMPT_TIMEOUT_SECONDS, self._reactor)
        return sent.addErrback(_raise_no_response)

    def open(self, server: str, request: HttpRequest) -> Deferred[Any]:
        """Send ``request``; fire with the response before its body is read."""
        headers = Headers()
        for name, text in request.headers.items():
            headers.addRawHeader(name, text)
        body = _create_body_producer(request.body) if request.body else None
        return self._agent.request(
            request.method.encode(),
            f'http://{server}{request.path}'.encode(),
            headers,
            body,
        )

    def _read(self, response: Any) -> Deferred[HttpResponse]:
        outcome = response.headers.getRawHeaders('Wasabiturn-Outcome', [''])

        def parse(body: bytes) -> HttpResponse:
            parsed = read_json(body)
            if not isinstance(parsed, dict):
                raise ValueError('body is not a JSON object')  # noqa: TRY004
            return HttpResponse(response.code, outcome[0], parsed)

        return readBody(response).addCallback(parse)


def _create_body_producer(body: bytes) -> Any:
    return FileBodyProducer(BytesIO(body))


def _raise_no_response(failure: TwistedFailure) -> NoReturn:
    never_connected = failure.check(ConnectError) is not None
    text = str(failure.value) or type(failure.value).__name__
    raise NoResponseError(text, never_connected) from failure.value
