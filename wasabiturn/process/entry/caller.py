"""HTTP request of a caller, based on ``twisted.web``."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, final

from twisted.internet.interfaces import IPushProducer
from twisted.python.failure import Failure
from twisted.web.http import Request
from zope.interface import implementer

from wasabiturn.messages.state import Header
from wasabiturn.process.entry.body_rate import BodyRate
from wasabiturn.process.entry.interfaces import RequestHandler
from wasabiturn.process.entry.timers import Timers
from wasabiturn.request.refusal import MIN_RETRY_AFTER_SECONDS, Refusal

# Time to read the rest of a request's body after an early answer.
LINGER_SECONDS = 2.0
# A connection whose caller has read nothing for this long is aborted.
STALL_SECONDS = 30.0

_ENCODING = 'latin-1'
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_STATUSES_WITHOUT_BODY = frozenset(
    (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED),
)

CreateHandler = Callable[['CallerRequest'], RequestHandler | None]


@final
@implementer(IPushProducer)
class CallerRequest(Request):
    """Request whose body and answer are both streamed."""

    def __init__(self, channel: Any, *args: Any, **options: Any) -> None:
        """Create the request; Twisted sets its head later."""
        super().__init__(channel)
        self.body_length: int | None = 0
        self.body_complete = False
        self.body_rate = BodyRate()
        self.is_started = False
        self.started_at = 0.0
        self.peer = ''
        self.on_done: list[Callable[[], None]] = []
        self._caller_channel = channel
        self._handler: RequestHandler | None = None
        self._answered = False
        self._caller_gone = False
        self._paused = False
        self._sent_length = 0
        self._declared_length: int | None = None
        self._expects_continue = False
        self._linger_timer = Timers(channel.reactor)
        self._stall_timer = Timers(channel.reactor)

    def set_request_line(
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Store the request line, and handle the Expect header."""
        self.method = command
        self.uri = path
        self.clientproto = version
        self.peer = str(self.getClientAddress().host)
        expect = self.requestHeaders.getRawHeaders(b'expect', [b''])
        self._expects_continue = expect[0].lower() == b'100-continue'
        self.requestHeaders.removeHeader(b'expect')

    def gotLength(self, length: int | None) -> None:
        """Store the length of the body; ``None`` if it is chunked."""
        self.body_length = length

    def start_handling(self) -> None:
        """Create the request's handler, then send 100 Continue if expected."""
        self.is_started = True
        self.started_at = self._caller_channel.reactor.seconds()
        self.body_rate.start(self.started_at)
        self._handler = self._caller_channel.create_handler(self)
        if self._expects_continue and not self._answered:
            self._expects_continue = False
            self._caller_channel.transport.write(_CONTINUE)

    def handleContentChunk(self, data: bytes) -> None:
        """Pass bytes of the body to the handler."""
        self.body_rate.add(len(data))
        if self._handler is not None and not self._answered:
            self._handler.body_received(data)

    def requestReceived(
        self,
        command: bytes,
        path: bytes,
        version: bytes,
    ) -> None:
        """Pass the end of the body to the handler."""
        self.body_complete = True
        self.body_rate.stop()
        if self._linger_timer.has_pending():
            self._finish_lingering()
        elif self._handler is not None:
            self._handler.body_ended()

    def connectionLost(self, reason: Failure) -> None:
        """Notify the handler that the caller has disconnected."""
        self._linger_timer.cancel()
        self._caller_gone = True
        self._paused = False
        if self._handler is not None and not self._answered:
            self._mark_answered()
            self._handler.caller_lost()
        super().connectionLost(reason)

    def read_headers(self) -> list[Header]:
        """Return the headers of the request."""
        return [
            Header(name=name.decode(_ENCODING), value=value.decode(_ENCODING))
            for name, values in self.requestHeaders.getAllRawHeaders()
            for value in values
        ]

    def send_head(self, status: int, headers: list[Header]) -> None:
        """Send the status and headers of the answer."""
        if self._caller_gone:
            return
        self.setResponseCode(status)
        for header in headers:
            self.responseHeaders.addRawHeader(
                header.name.encode(_ENCODING),
                header.value.encode(_ENCODING),
            )
        lengths = self.responseHeaders.getRawHeaders(b'content-length')
        self._declared_length = int(lengths[0]) if lengths else None
        unread = self.body_length != 0 and not self.body_complete
        if unread or self._caller_channel.is_draining():
            self._caller_channel.persistent = False
            self.responseHeaders.setRawHeaders(b'connection', [b'close'])
        self.registerProducer(self, True)
        self.write(b'')

    def send_body(self, chunk: bytes) -> bool:
        """Send bytes of the body; return false while the caller is slow."""
        if self._caller_gone:
            return True
        self._sent_length += len(chunk)
        self.write(chunk)
        return not self._paused

    def finish_answer(self) -> None:
        """Complete the answer; abort if its length is not the declared one."""
        self._mark_answered()
        if self._caller_gone:
            return
        has_body = (
            self.method != b'HEAD' and self.code not in _STATUSES_WITHOUT_BODY
        )
        if has_body and self._declared_length not in {None, self._sent_length}:
            self.abort()
            return
        self.unregisterProducer()
        if self.body_complete or self._expects_continue:
            self.finish()
            return
        self.resume_body()
        self._linger_timer.start(LINGER_SECONDS, self._finish_lingering)

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal as the answer."""
        text = f'{refusal.reason}\n'.encode()
        headers = [
            Header('Content-Type', 'text/plain; charset=utf-8'),
            Header('Content-Length', str(len(text))),
            Header('Wasabiturn-Outcome', refusal.outcome.value),
        ]
        if refusal.retry_after_seconds is not None:
            seconds = max(
                round(refusal.retry_after_seconds + 0.5),
                MIN_RETRY_AFTER_SECONDS,
            )
            headers.append(Header('Retry-After', str(seconds)))
        self.send_head(refusal.status, headers)
        self.send_body(text)
        self.finish_answer()

    def abort(self) -> None:
        """Abort the connection."""
        self._mark_answered()
        self._caller_channel.transport.abortConnection()

    def pause_body(self) -> None:
        """Pause reading the body."""
        self.body_rate.stop()
        if not self.body_complete:
            self._caller_channel.transport.pauseProducing()

    def resume_body(self) -> None:
        """Resume reading the body."""
        if not self.body_complete:
            self.body_rate.start(self._caller_channel.reactor.seconds())
            self._caller_channel.transport.resumeProducing()

    def pauseProducing(self) -> None:
        """Pause the answer, because the caller reads too slowly."""
        self._paused = True
        self._stall_timer.start(STALL_SECONDS, self.abort)

    def resumeProducing(self) -> None:
        """Resume the answer, because the caller reads again."""
        self._paused = False
        self._stall_timer.cancel()
        if self._handler is not None:
            self._handler.resume_answer()

    def stopProducing(self) -> None:
        """Stop the answer, because the caller reads no more."""
        self._paused = True

    def _finish_lingering(self) -> None:
        self._linger_timer.cancel()
        self.finish()

    def _mark_answered(self) -> None:
        self._answered = True
        self._stall_timer.cancel()
        callbacks = self.on_done
        self.on_done = []
        for callback in callbacks:
            callback()
