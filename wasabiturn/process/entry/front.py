"""HTTP server for callers, based on ``twisted.web``."""

from collections.abc import Callable
from typing import Any, cast, final

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel, Request

from wasabiturn.process.entry.caller import CallerRequest, CreateHandler
from wasabiturn.process.entry.metrics import EntryMetrics
from wasabiturn.request.refusal import RefusalOutcome

IDLE_TIMEOUT_SECONDS = 30
HEAD_TIMEOUT_SECONDS = 10.0

# Twisted's own answer to a request that it cannot parse has no headers.
_BAD_REQUEST_RESPONSE = (
    'HTTP/1.1 400 Bad Request\r\n'
    f'Wasabiturn-Outcome: {RefusalOutcome.not_run.value}\r\n'
    'Content-Length: 0\r\nConnection: close\r\n\r\n'
)


@final
class CallerChannel(HTTPChannel):
    """One connection of a caller.

    It is aborted if a request's head is incomplete ``HEAD_TIMEOUT_SECONDS``
    after its first byte, even if bytes still arrive.
    """

    def __init__(
        self,
        reactor: Any,
        create_handler: CreateHandler,
        is_draining: Callable[[], bool],
    ) -> None:
        """Create a connection; ``create_handler`` gets each request."""
        super().__init__()
        self.requestFactory = cast(Any, CallerRequest)
        self.timeOut = IDLE_TIMEOUT_SECONDS
        self.reactor = reactor
        self.create_handler = create_handler
        self.is_draining = is_draining
        self.closing = False
        self.on_close: Callable[[CallerChannel], None] | None = None
        self._head_timer: Any = None

    def callLater(self, delay: float, *call: Any) -> Any:
        """Schedule the idle time-out on the given reactor."""
        return self.reactor.callLater(delay, *call)

    def dataReceived(self, data: bytes) -> None:
        """Parse bytes; the first ones of a request start the head timer."""
        if self._head_timer is None and not self.requests:
            self._head_timer = self.reactor.callLater(
                HEAD_TIMEOUT_SECONDS,
                self._expire_head,
            )
        super().dataReceived(data)

    def allHeadersReceived(self) -> None:
        """Start handling the request before its body arrives."""
        self._stop_head_timer()
        request = cast(CallerRequest, self.requests[-1])
        line: Any = (self._command, self._path, self._version)
        request.set_request_line(*line)
        super().allHeadersReceived()
        request.start_handling()

    def lineLengthExceeded(self, line: bytes) -> None:
        """Refuse a request whose head has an overlong line."""
        self._refuse_malformed()

    def _respondToBadRequestAndDisconnect(self) -> None:
        """Refuse a request that Twisted cannot parse."""
        self._refuse_malformed()

    def _refuse_malformed(self) -> None:
        self._stop_head_timer()
        if any(request.is_started for request in self.requests):
            self.forceAbortClient()
        else:
            cast(Any, self.transport).write(_BAD_REQUEST_RESPONSE.encode())
            self.loseConnection()

    def requestDone(self, request: Request) -> None:
        """Reset the head timer for the next request."""
        self._stop_head_timer()
        super().requestDone(request)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Notify the requests that their caller has disconnected."""
        self._stop_head_timer()
        super().connectionLost(reason)
        if self.on_close is not None:
            self.on_close(self)

    def _expire_head(self) -> None:
        self._head_timer = None
        self.forceAbortClient()

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None


@final
class CallerFactory(Factory):
    """Accepts callers' connections."""

    noisy = False

    def __init__(
        self,
        reactor: Any,
        create_handler: CreateHandler,
        metrics: EntryMetrics | None = None,
    ) -> None:
        """Create a factory; ``create_handler`` gets each request."""
        self.draining = False
        self.channels: set[CallerChannel] = set()
        self._reactor = reactor
        self._create_handler = create_handler
        self._metrics = metrics

    def buildProtocol(self, addr: IAddress | None) -> CallerChannel:
        """Build the channel of one connection."""
        channel = CallerChannel(
            self._reactor, self._create_handler, self.is_draining
        )
        channel.factory = self
        channel.on_close = self.channels.discard
        self.channels.add(channel)
        return channel

    def close_idle(self) -> None:
        """Close the connections that have no request in progress."""
        for channel in list(self.channels):
            if not channel.requests and not channel.closing:
                channel.closing = True
                channel.loseConnection()

    def is_draining(self) -> bool:
        """Return whether connections close after their next answer."""
        return self.draining

    def log(self, request: Request) -> None:
        """Record metrics of a finished request instead of an access log line.

        Routing decisions are logged already.
        """
        if self._metrics is not None:
            now = self._reactor.seconds()
            self._metrics.record(cast(CallerRequest, request), now)
