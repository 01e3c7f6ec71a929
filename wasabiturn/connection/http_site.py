"""HTTP/1.1 server that passes whole requests to one function.

Messages are held in memory, so this serves short ones only; requests that are
streamed to backend servers go through ``process/entry``.

A client that gets no response asks another instance, and may then want the
opposite. A request that changes something is therefore not handled if its
client has gone, or may have gone while the process stood still.
"""

from collections import deque
from collections.abc import Callable
from typing import Any, cast, final

from twisted.internet.defer import CancelledError, Deferred, maybeDeferred
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from wasabiturn.connection.http_messages import (
    HttpError,
    HttpRequest,
    HttpResponse,
    encode_response,
)
from wasabiturn.connection.http_reader import RequestReader
from wasabiturn.utils.logs import create_component_log
from wasabiturn.utils.pauses import PauseDetector

# Longer than clients keep an idle connection open.
IDLE_TIMEOUT_SECONDS = 75.0
# A client that sends more requests without reading responses must wait.
MAX_QUEUED_REQUESTS = 16
BAD_REQUEST = 400
SERVER_ERROR = 500
UNAVAILABLE = 503
RETRY_AFTER_SECONDS = 1
_SAFE_METHODS = frozenset(('GET', 'HEAD'))
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'

RequestHandler = Callable[[HttpRequest], HttpResponse | Deferred[HttpResponse]]

_log = create_component_log('http')


@final
class HttpServerConnection(Protocol):
    """Connection of one client; responds to its requests in their order."""

    def __init__(self, site: 'HttpSite') -> None:
        """Create the server side of a connection."""
        self._site = site
        self._reader = RequestReader(self._enqueue, self._send_continue)
        self._queue: deque[HttpRequest] = deque()
        self._handled: Deferred[Any] | None = None
        self._is_busy = False
        self._is_lost = False
        self._is_paused = False
        self._closes = False
        self._last_used = 0.0
        self._idle_timer: Any = None

    def connectionMade(self) -> None:
        """Start to watch for an idle connection."""
        transport = self._get_transport()
        if hasattr(transport, 'setTcpNoDelay'):
            transport.setTcpNoDelay(True)
        self._last_used = self._site.clock.seconds()
        self._watch_idleness()

    def dataReceived(self, received: bytes) -> None:
        """Read requests; respond with status 400 to what is none."""
        self._last_used = self._site.clock.seconds()
        try:
            self._reader.feed(received)
        except HttpError as error:
            _log.event('rejecting a malformed request', error=str(error))
            self._closes = True
            self._queue.clear()
            self._write(HttpResponse(status=BAD_REQUEST))

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Drop what was not yet handled, and cancel what is."""
        self._is_lost = True
        self._queue.clear()
        if self._handled is not None:
            self._handled.cancel()
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def _get_transport(self) -> Any:
        return cast(Any, self.transport)

    def _enqueue(self, request: HttpRequest) -> None:
        if self._closes:
            return
        # A response to HEAD must have no body, which no handler knows.
        if request.method == 'HEAD' or not self._reader.keeps_alive():
            self._closes = True
        self._queue.append(request)
        if not self._is_busy:
            self._handle_next()
        elif len(self._queue) > MAX_QUEUED_REQUESTS:
            self._is_paused = True
            self._get_transport().pauseProducing()

    def _send_continue(self) -> None:
        self._get_transport().write(_CONTINUE)

    def _handle_next(self) -> None:
        if not self._queue:
            self._resume()
            return
        self._is_busy = True
        request = self._queue.popleft()
        if request.method in _SAFE_METHODS:
            self._handle(request)
        elif self._site.may_be_outdated():
            _log.event(
                'request may have waited while the process stood still',
                method=request.method,
                path=request.path,
            )
            self._respond(_create_unavailable_response())
        else:
            self._site.call_after_next_input(self._handle_if_awaited, request)

    def _handle_if_awaited(self, request: HttpRequest) -> None:
        if not self._is_lost:
            self._handle(request)
            return
        _log.event(
            'client has gone; its request is not handled',
            method=request.method,
            path=request.path,
        )

    def _handle(self, request: HttpRequest) -> None:
        handled: Deferred[Any] = maybeDeferred(self._site.handle, request)
        self._handled = handled
        handled.addErrback(_create_error_response)
        handled.addCallback(self._respond)

    def _respond(self, response: HttpResponse) -> None:
        self._handled = None
        self._is_busy = False
        self._last_used = self._site.clock.seconds()
        self._write(response)
        self._handle_next()

    def _write(self, response: HttpResponse) -> None:
        if self._is_lost:
            return
        closes = (self._closes and not self._queue) or self._site.is_closing
        self._get_transport().write(encode_response(response, closes))
        if closes:
            self._queue.clear()
            self._closes = True
            self._get_transport().loseConnection()

    def _resume(self) -> None:
        if self._is_paused:
            self._is_paused = False
            self._get_transport().resumeProducing()

    def _watch_idleness(self) -> None:
        now = self._site.clock.seconds()
        remaining = self._last_used + IDLE_TIMEOUT_SECONDS - now
        if self._is_busy:
            remaining = IDLE_TIMEOUT_SECONDS
        if remaining > 0:
            self._idle_timer = self._site.clock.callLater(
                remaining, self._watch_idleness
            )
            return
        self._idle_timer = None
        self._get_transport().loseConnection()


@final
class HttpSite(Factory):
    """Passes each request to ``handle``, which returns the response.

    While ``is_closing``, each connection ends with its next response.
    """

    noisy = False

    def __init__(
        self,
        handle: RequestHandler,
        clock: Any,
        pause_detector: PauseDetector | None = None,
    ) -> None:
        """Create a site; ``clock`` is the reactor.

        With a ``pause_detector``, requests that change something are refused
        if they may have waited in a pause.
        """
        self.handle = handle
        self.clock = clock
        self.is_closing = False
        self._pause_detector = pause_detector

    def may_be_outdated(self) -> bool:
        """Return whether what is read now may have waited in a pause."""
        detector = self._pause_detector
        return detector is not None and detector.is_catching_up()

    def call_after_next_input(
        self, call: Callable[[HttpRequest], None], request: HttpRequest
    ) -> None:
        """Call once all input was read that has arrived until now.

        The loop runs due calls before it reads, so a second one follows the
        end of the connection if that waits behind the request.
        """
        self.clock.callLater(0, self.clock.callLater, 0, call, request)

    def buildProtocol(self, addr: IAddress | None) -> HttpServerConnection:
        """Build the server side of one connection."""
        return HttpServerConnection(self)


def _create_unavailable_response() -> HttpResponse:
    headers = (('Retry-After', str(RETRY_AFTER_SECONDS)),)
    return HttpResponse(status=UNAVAILABLE, headers=headers)


def _create_error_response(failure: Failure) -> HttpResponse:
    if failure.check(CancelledError):
        return _create_unavailable_response()
    _log.warning(
        'request handler failed; responding with status 500',
        trace=failure.getTraceback(),
    )
    return HttpResponse(status=SERVER_ERROR)
