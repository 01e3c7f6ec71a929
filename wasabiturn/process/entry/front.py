"""Callers' HTTP front: connections, on ``twisted.web``."""

from collections.abc import Callable
from typing import Any, cast, final

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel, Request

from wasabiturn.process.entry.caller import CallerRequest, RequestOpener
from wasabiturn.process.entry.metrics import EntryMeters
from wasabiturn.request.refusal import RefusalOutcome

IDLE_TIMEOUT_SECONDS = 30
HEAD_TIMEOUT_SECONDS = 10.0

# Twisted sends no headers with the refusal of a request that it cannot parse.
_MALFORMED = (
    'HTTP/1.1 400 Bad Request\r\n'
    f'Wasabiturn-Outcome: {RefusalOutcome.not_run.value}\r\n'
    'Content-Length: 0\r\nConnection: close\r\n\r\n'
)


@final
class CallerChannel(HTTPChannel):
    """One connection of a caller.

    A request whose head is not whole within ``HEAD_TIMEOUT_SECONDS`` of its
    first byte is dropped, however slowly its bytes keep coming.
    """

    def __init__(
        self,
        reactor: Any,
        opener: RequestOpener,
        is_draining: Callable[[], bool],
    ) -> None:
        """Create a connection whose requests ``opener`` takes."""
        super().__init__()
        self.requestFactory = cast(Any, CallerRequest)
        self.timeOut = IDLE_TIMEOUT_SECONDS
        self.reactor = reactor
        self.opener = opener
        self.is_draining = is_draining
        self.closing = False
        self.on_close: Callable[[CallerChannel], None] | None = None
        self._head_timer: Any = None

    def callLater(self, delay: float, *call: Any) -> Any:
        """Schedule the idle time-out on the loop of this process."""
        return self.reactor.callLater(delay, *call)

    def dataReceived(self, data: bytes) -> None:
        """Take bytes; the first of a request start its head's time."""
        if self._head_timer is None and not self.requests:
            self._head_timer = self.reactor.callLater(
                HEAD_TIMEOUT_SECONDS,
                self._expire_head,
            )
        super().dataReceived(data)

    def allHeadersReceived(self) -> None:
        """Hand the request over before its body comes."""
        self._stop_head_timer()
        request = cast(CallerRequest, self.requests[-1])
        line: Any = (self._command, self._path, self._version)
        request.take_line(*line)
        super().allHeadersReceived()
        request.open()

    def lineLengthExceeded(self, line: bytes) -> None:
        """Refuse a request whose head has a line over the limit."""
        self._refuse_malformed()

    def _respondToBadRequestAndDisconnect(self) -> None:
        """Refuse what Twisted cannot parse, with the outcome of a refusal."""
        self._refuse_malformed()

    def _refuse_malformed(self) -> None:
        self._stop_head_timer()
        if any(request.opened for request in self.requests):
            self.forceAbortClient()
        else:
            cast(Any, self.transport).write(_MALFORMED.encode())
            self.loseConnection()

    def requestDone(self, request: Request) -> None:
        """Begin the time of the next head anew."""
        self._stop_head_timer()
        super().requestDone(request)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Tell the requests that their caller is gone."""
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
        opener: RequestOpener,
        meters: EntryMeters | None = None,
    ) -> None:
        """Create a factory whose requests ``opener`` takes."""
        self.draining = False
        self.channels: set[CallerChannel] = set()
        self._reactor = reactor
        self._opener = opener
        self._meters = meters

    def buildProtocol(self, addr: IAddress | None) -> CallerChannel:
        """Build the channel of one connection."""
        channel = CallerChannel(self._reactor, self._opener, self.is_draining)
        channel.factory = self
        channel.on_close = self.channels.discard
        self.channels.add(channel)
        return channel

    def close_idle(self) -> None:
        """Close the connections on which no request is under way."""
        for channel in list(self.channels):
            if not channel.requests and not channel.closing:
                channel.closing = True
                channel.loseConnection()

    def is_draining(self) -> bool:
        """Tell whether connections close after their next answer."""
        return self.draining

    def log(self, request: Request) -> None:
        """Count a finished request; no access log, as decisions are logged."""
        if self._meters is not None:
            now = self._reactor.seconds()
            self._meters.record(cast(CallerRequest, request), now)
