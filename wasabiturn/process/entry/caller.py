"""One request of a caller, on ``twisted.web``."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, final

from twisted.internet.interfaces import IPushProducer
from twisted.python.failure import Failure
from twisted.web.http import Request
from zope.interface import implementer

from wasabiturn.messages.state import Header
from wasabiturn.process.entry.interfaces import AnswerSource
from wasabiturn.process.entry.timers import Timers
from wasabiturn.request.refusal import MIN_RETRY_AFTER_SECONDS, Refusal

LINGER_SECONDS = 2.0
# A caller that reads nothing for so long does not get the rest.
STALL_SECONDS = 30.0

_ENCODING = 'latin-1'
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_WITHOUT_BODY = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))

RequestOpener = Callable[['CallerRequest'], AnswerSource | None]


@final
@implementer(IPushProducer)
class CallerRequest(Request):
    """One request of a caller, streamed both ways."""

    def __init__(self, channel: Any, *args: Any, **options: Any) -> None:
        """Create the request; Twisted fills in its head."""
        super().__init__(channel)
        self.body_length: int | None = 0
        self.body_complete = False
        self.opened = False
        self.opened_at = 0.0
        self.peer = ''
        self.on_done: list[Callable[[], None]] = []
        self._caller_channel = channel
        self._source: AnswerSource | None = None
        self._answered = False
        self._lost = False
        self._paused = False
        self._sent = 0
        self._promised: int | None = None
        self._expects_continue = False
        self._linger_timer = Timers(channel.reactor)
        self._stall_timer = Timers(channel.reactor)

    def take_line(self, command: bytes, path: bytes, version: bytes) -> None:
        """Take the request line."""
        self.method = command
        self.uri = path
        self.clientproto = version
        self.peer = str(self.getClientAddress().host)
        expect = self.requestHeaders.getRawHeaders(b'expect', [b''])
        self._expects_continue = expect[0].lower() == b'100-continue'
        self.requestHeaders.removeHeader(b'expect')

    def gotLength(self, length: int | None) -> None:
        """Learn the length of the body; ``None`` if it is chunked."""
        self.body_length = length

    def open(self) -> None:
        """Begin to serve the request."""
        self.opened = True
        self.opened_at = self._caller_channel.reactor.seconds()
        self._source = self._caller_channel.opener(self)
        if self._expects_continue and not self._answered:
            self._expects_continue = False
            self._caller_channel.transport.write(_CONTINUE)

    def handleContentChunk(self, data: bytes) -> None:
        """Pass on bytes of the body."""
        if self._source is not None and not self._answered:
            self._source.body_received(data)

    def requestReceived(
        self,
        command: bytes,
        path: bytes,
        version: bytes,
    ) -> None:
        """Pass on the end of the body."""
        self.body_complete = True
        if self._linger_timer.are_started():
            self._finish_lingering()
        elif self._source is not None:
            self._source.body_ended()

    def connectionLost(self, reason: Failure) -> None:
        """Tell that the caller has hung up."""
        self._linger_timer.cancel()
        self._lost = True
        self._paused = False
        if self._source is not None and not self._answered:
            self._conclude()
            self._source.caller_lost()
        super().connectionLost(reason)

    def read_headers(self) -> list[Header]:
        """Return the headers of the request."""
        return [
            Header(name=name.decode(_ENCODING), value=value.decode(_ENCODING))
            for name, values in self.requestHeaders.getAllRawHeaders()
            for value in values
        ]

    def send_head(self, status: int, headers: list[Header]) -> None:
        """Send status and headers of the answer."""
        if self._lost:
            return
        self.setResponseCode(status)
        for header in headers:
            self.responseHeaders.addRawHeader(
                header.name.encode(_ENCODING),
                header.value.encode(_ENCODING),
            )
        lengths = self.responseHeaders.getRawHeaders(b'content-length')
        self._promised = int(lengths[0]) if lengths else None
        unread = self.body_length != 0 and not self.body_complete
        if unread or self._caller_channel.is_draining():
            self._caller_channel.persistent = False
            self.responseHeaders.setRawHeaders(b'connection', [b'close'])
        self.registerProducer(self, True)
        self.write(b'')

    def send_body(self, chunk: bytes) -> bool:
        """Send the next bytes; false while the caller is slow."""
        if self._lost:
            return True
        self._sent += len(chunk)
        self.write(chunk)
        return not self._paused

    def finish_answer(self) -> None:
        """Complete the answer, or abort one shorter than it promised."""
        self._conclude()
        if self._lost:
            return
        has_body = self.method != b'HEAD' and self.code not in _WITHOUT_BODY
        if has_body and self._promised not in {None, self._sent}:
            self.abort()
            return
        self.unregisterProducer()
        if self.body_complete or self._expects_continue:
            self.finish()
            return
        self.resume_body()
        self._linger_timer.start(LINGER_SECONDS, self._finish_lingering)

    def refuse(self, refusal: Refusal) -> None:
        """Answer with a refusal."""
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
        """Drop the connection at once."""
        self._conclude()
        self._caller_channel.transport.abortConnection()

    def pause_body(self) -> None:
        """Read no more of the body for now."""
        if not self.body_complete:
            self._caller_channel.transport.pauseProducing()

    def resume_body(self) -> None:
        """Go on reading the body."""
        if not self.body_complete:
            self._caller_channel.transport.resumeProducing()

    def pauseProducing(self) -> None:
        """Learn that the caller reads too slowly."""
        self._paused = True
        self._stall_timer.start(STALL_SECONDS, self.abort)

    def resumeProducing(self) -> None:
        """Learn that the caller has caught up."""
        self._paused = False
        self._stall_timer.cancel()
        if self._source is not None:
            self._source.resume_answer()

    def stopProducing(self) -> None:
        """Learn that the caller will read no more."""
        self._paused = True

    def _finish_lingering(self) -> None:
        self._linger_timer.cancel()
        self.finish()

    def _conclude(self) -> None:
        self._answered = True
        self._stall_timer.cancel()
        callbacks = self.on_done
        self.on_done = []
        for callback in callbacks:
            callback()
