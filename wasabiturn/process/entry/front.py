"""HTTP server for callers, based on ``twisted.web``."""

from collections.abc import Callable
from typing import Any, cast, final

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel, Request

from wasabiturn.connection.client_claims import Claim, Phase, Rank
from wasabiturn.connection.client_guard import ClientGuard
from wasabiturn.connection.http_limits import HEAD_TIMEOUT_SECONDS
from wasabiturn.connection.rejections import RejectionCause
from wasabiturn.process.daemon import Context
from wasabiturn.process.entry.caller import CallerRequest, CreateHandler
from wasabiturn.process.entry.metrics import EntryMetrics
from wasabiturn.process.guards import create_guard
from wasabiturn.request.refusal import RefusalOutcome

IDLE_TIMEOUT_SECONDS = 30

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
        guard: ClientGuard,
    ) -> None:
        """Create a connection; ``create_handler`` gets each request."""
        super().__init__()
        self.rank = Rank.caller
        self.held_bytes = 0
        self._guard = guard
        self._has_served = False
        # It keeps its descriptor until the next turn of the loop.
        self._is_aborted = False
        self._since = 0.0
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

    def connectionMade(self) -> None:
        """Begin to bound what the caller may take."""
        super().connectionMade()
        self._since = self.reactor.seconds()
        self._guard.add(self)

    def create_claim(self) -> Claim:
        """Return what the connection does now; bodies are not kept here."""
        phase = Phase.idle
        if self._is_aborted:
            phase = Phase.closing
        elif any(request.is_started for request in self.requests):
            phase = Phase.running
        elif self._head_timer is not None:
            phase = Phase.receiving
        return Claim(
            owner=self,
            rank=self.rank,
            phase=phase,
            since=self._since,
            has_served=self._has_served,
        )

    def check_deadlines(self, now: float) -> None:
        """Abort the connection if the body of its request comes too slowly."""
        if self._is_aborted:
            return
        requests = [cast(CallerRequest, each) for each in self.requests]
        if any(request.body_rate.is_too_low(now) for request in requests):
            self._abort(RejectionCause.body_rate)

    def yield_to_others(self, cause: RejectionCause) -> None:
        """Abort the connection, which has no request in progress."""
        self._abort(cause)

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
        self._has_served = True
        self._since = self.reactor.seconds()
        super().requestDone(request)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Notify the requests that their caller has disconnected."""
        self._stop_head_timer()
        self._guard.remove(self)
        super().connectionLost(reason)
        if self.on_close is not None:
            self.on_close(self)

    def _expire_head(self) -> None:
        self._head_timer = None
        self._abort(RejectionCause.head_timeout)

    def _abort(self, cause: RejectionCause) -> None:
        self._is_aborted = True
        self._guard.record(cause, self.rank)
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
        guard: ClientGuard | None = None,
    ) -> None:
        """Create a factory; ``create_handler`` gets each request."""
        self._guard = guard or ClientGuard(reactor)
        self.draining = False
        self.channels: set[CallerChannel] = set()
        self._reactor = reactor
        self._create_handler = create_handler
        self._metrics = metrics

    def buildProtocol(self, addr: IAddress | None) -> CallerChannel | None:
        """Build the channel of a connection, unless there are too many."""
        if not self._guard.admits(Rank.caller):
            return None
        channel = CallerChannel(
            self._reactor, self._create_handler, self.is_draining, self._guard
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


def create_caller_factory(
    context: Context, create_handler: CreateHandler
) -> CallerFactory:
    """Create the factory of an entry's connections to callers."""
    return CallerFactory(
        context.reactor,
        create_handler,
        EntryMetrics(context.metrics),
        create_guard(context),
    )
