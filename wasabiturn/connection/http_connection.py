"""Server side of one HTTP/1.1 connection, with limits on its client."""

from http import HTTPStatus
from typing import Any, Protocol, cast, final

from twisted.internet import protocol
from twisted.python.failure import Failure

from wasabiturn.connection import client_deadlines
from wasabiturn.connection.client_claims import Claim, Phase
from wasabiturn.connection.http_limits import HttpLimits
from wasabiturn.connection.http_messages import (
    HttpError,
    HttpRequest,
    HttpResponse,
    encode_response,
)
from wasabiturn.connection.http_reader import RequestReader
from wasabiturn.connection.rejections import RejectionCause
from wasabiturn.connection.request_runner import (
    RequestRunner,
    RunnerSite,
    create_unavailable_response,
)
from wasabiturn.connection.unread_watch import UnreadWatch

# Bytes that are parsed at a time: a read of short requests adds few of them to
# the queue before the client must wait.
FEED_BYTES = 512
# Bytes of one read, and of responses that may wait for the client to read them
# while its next request is handled.
BUFFER_BYTES = 8192
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class ConnectionSite(RunnerSite, Protocol):
    """What a connection uses of the site that has accepted it."""

    clock: Any
    is_closing: bool
    limits: HttpLimits


@final
class HttpServerConnection(protocol.Protocol):
    """Connection of one client; responds to its requests in their order."""

    def __init__(self, site: ConnectionSite) -> None:
        """Create the server side of a connection."""
        self.rank = site.rank
        self.held_bytes = 0
        self._site = site
        self._reader = RequestReader(
            self._enqueue,
            lambda: self._get_transport().write(_CONTINUE),
            site.limits,
        )
        self._runner = RequestRunner(site, self)
        self.unread = UnreadWatch(site.clock, self._pause, self._handle_read)
        # Received while the client must wait.
        self._input = b''
        self._is_lost = False
        self._is_paused = False
        self._closes = False
        # Last time that the connection became idle.
        self._idle_since = 0.0
        # Begin of the unfinished request.
        self._began_at: float | None = None

    def connectionMade(self) -> None:
        """Begin to watch the client."""
        transport = self._get_transport()
        if hasattr(transport, 'setTcpNoDelay'):
            transport.setTcpNoDelay(True)
        transport.bufferSize = BUFFER_BYTES
        transport.registerProducer(self.unread, True)
        self._idle_since = self._site.clock.seconds()
        self._site.guard.add(self)

    def dataReceived(self, received: bytes) -> None:
        """Read requests; reject what is none or is over a limit."""
        if self._is_paused or self._closes or len(received) > FEED_BYTES:
            self._input += received
            self._read_input()
            return
        # Most requests arrive whole in one short read.
        self._reader.limits = self._site.limits
        try:
            self._reader.feed(received)
        except HttpError as error:
            self._reject(error.status, error.cause)
            return
        if (
            self._reader.is_in_message
            or self.held_bytes
            or self._runner.queue.waiting
        ):
            self._finish_read()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Drop what was not yet handled, and cancel what is."""
        self._is_lost = True
        self._site.guard.remove(self)
        self._runner.cancel()

    def create_claim(self) -> Claim:
        """Return what the connection holds now."""
        phase = Phase.idle
        since = self._idle_since
        if self.unread.is_unread:
            phase = Phase.sending
            since = self.unread.since
        elif self._runner.is_busy:
            phase = Phase.running
        elif self._began_at is not None:
            phase = Phase.receiving
            since = self._began_at
        elif self._closes:
            phase = Phase.closing
        return Claim(
            owner=self,
            rank=self.rank,
            phase=phase,
            since=since,
            held_bytes=self.held_bytes,
            has_served=self._runner.has_served,
        )

    def check_deadlines(self, now: float) -> None:
        """Close the connection if its client is too slow."""
        claim = self.create_claim()
        self._reader.limits = self._site.limits
        cause = _find_overdue(
            claim, now, self._reader, self.unread.unread_bytes
        )
        if cause is None:
            return
        if claim.phase is Phase.receiving:
            self._reject(HTTPStatus.REQUEST_TIMEOUT, cause)
        elif claim.phase is Phase.idle:
            self._closes = True
            self._idle_since = now
            self._get_transport().loseConnection()
        else:
            self._abort(cause)

    def yield_to_others(self, cause: RejectionCause) -> None:
        """Close the connection, which has no whole request."""
        if self._began_at is not None and not self.unread.is_unread:
            self._reject(HTTPStatus.SERVICE_UNAVAILABLE, cause)
        else:
            self._abort(cause)

    def respond(self, response: HttpResponse) -> None:
        """Send a response."""
        closes = (
            self._closes and not self._runner.queue.waiting
        ) or self._site.is_closing
        encoded = encode_response(response, closes)
        self._idle_since = self._site.clock.seconds()
        self._get_transport().write(encoded)
        if closes:
            self._runner.queue.clear()
            self._closes = True
            self._get_transport().loseConnection()
        if self.unread.is_unread:
            self.unread.add(len(encoded))
            self._report()
        elif self.held_bytes:
            self._report()

    def resume(self) -> None:
        """Read more requests, as none waits."""
        if self._closes or self._is_lost:
            return
        if self._is_paused:
            self._is_paused = False
            if self._began_at is not None:
                # The client could not send while it was not read from.
                self._began_at = self._site.clock.seconds()
            self._get_transport().resumeProducing()
        if self._input:
            self._read_input()

    def _get_transport(self) -> Any:
        return cast(Any, self.transport)

    def _read_input(self) -> None:
        received = self._input
        self._input = b''
        self._reader.limits = self._site.limits
        start = 0
        try:
            while start < len(received) and self._may_read():
                self._reader.feed(received[start : start + FEED_BYTES])
                start += FEED_BYTES
        except HttpError as error:
            self._reject(error.status, error.cause)
            return
        if not self._closes:
            self._input = received[start:]
        self._finish_read()

    def _finish_read(self) -> None:
        """Record the begin of an unfinished request, and what it takes."""
        if not self._reader.is_in_message:
            self._began_at = None
        elif self._began_at is None:
            self._began_at = self._site.clock.seconds()
        self._report()
        if self._has_pipelined() and self._site.guard.is_exhausted(self.rank):
            self._reject(HTTPStatus.SERVICE_UNAVAILABLE, RejectionCause.memory)

    def _has_pipelined(self) -> bool:
        """Return whether requests arrive behind one that is handled."""
        has_more = self._reader.is_in_message or self._runner.queue.waiting
        return self._runner.is_busy and bool(has_more)

    def _may_read(self) -> bool:
        return not (
            self._closes
            or self.unread.is_unread
            or self._runner.queue.is_full()
        )

    def _report(self) -> None:
        """Report what the connection holds."""
        held_bytes = (
            self._reader.held_bytes
            + self._runner.queue.kept_bytes
            + len(self._input)
            + self.unread.unread_bytes
        )
        self._site.guard.report_change(self, held_bytes)

    def _enqueue(self, request: HttpRequest) -> None:
        if self._closes:
            return
        # A response to HEAD must have no body, which no handler knows.
        if request.method == 'HEAD' or not self._reader.keeps_alive():
            self._closes = True
        self._began_at = None
        waits = self._runner.add(request, self._reader.message_bytes)
        if waits and self._runner.queue.is_full():
            self._pause()

    def _reject(self, status: HTTPStatus, cause: RejectionCause) -> None:
        """Respond to the unfinished request with an error, and close.

        If an earlier request is not answered yet, the response would be taken
        for that of the earlier one, so there is none.
        """
        self._site.guard.record(cause, self.rank)
        self._reader.drop_message()
        self._began_at = None
        self._input = b''
        self._closes = True
        self._runner.queue.clear()
        if self._runner.is_busy or self.unread.is_unread:
            self._get_transport().pauseProducing()
            self._report()
        elif status is HTTPStatus.SERVICE_UNAVAILABLE:
            self.respond(create_unavailable_response())
        else:
            self.respond(HttpResponse(status=status))

    def _abort(self, cause: RejectionCause) -> None:
        self._site.guard.record(cause, self.rank)
        self._closes = True
        self._began_at = None
        self._idle_since = self._site.clock.seconds()
        self.unread.is_unread = False
        self._get_transport().abortConnection()

    def _pause(self) -> None:
        self._is_paused = True
        self._get_transport().pauseProducing()

    def _handle_read(self) -> None:
        """Go on after the client has read the responses."""
        self._idle_since = self._site.clock.seconds()
        self._report()
        if self._runner.is_busy:
            return
        if self._closes and not self._runner.queue.waiting:
            # A connection that is being closed waits for its producer.
            self._get_transport().unregisterProducer()
            self._get_transport().loseConnection()
        else:
            self._runner.handle_next()


def _find_overdue(
    claim: Claim, now: float, reader: RequestReader, unread_bytes: int
) -> RejectionCause | None:
    """Return the deadline that a connection has met."""
    age_seconds = now - claim.since
    if claim.phase is Phase.receiving:
        return _find_slowness(reader, age_seconds)
    if claim.phase is Phase.idle:
        is_overdue = age_seconds > reader.limits.idle_timeout_seconds
        return RejectionCause.idle if is_overdue else None
    if claim.phase is Phase.running:
        return None
    is_overdue = client_deadlines.is_read_overdue(unread_bytes, age_seconds)
    return RejectionCause.unread if is_overdue else None


def _find_slowness(
    reader: RequestReader, age_seconds: float
) -> RejectionCause | None:
    """Return the limit that an unfinished request of this age has met."""
    if not reader.has_head:
        if age_seconds > reader.limits.head_timeout_seconds:
            return RejectionCause.head_timeout
    elif client_deadlines.is_below_rate(
        reader.body_bytes,
        age_seconds,
        client_deadlines.MIN_BODY_BYTES_PER_SECOND,
    ):
        return RejectionCause.body_rate
    return None
