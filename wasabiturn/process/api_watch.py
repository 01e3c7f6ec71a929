"""One watch on its way from a control instance to an operator."""

from collections.abc import Callable
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, final

from wasabiturn.connection.link import Link
from wasabiturn.connection.streams import Stream
from wasabiturn.messages.kinds import Method
from wasabiturn.messages.session import ApiResponse, WatchRequest
from wasabiturn.process.api_responses import create_error

_STATUS_BY_REASON = MappingProxyType(
    {
        'unauthorized': HTTPStatus.UNAUTHORIZED,
        'not watched': HTTPStatus.UNPROCESSABLE_ENTITY,
    }
)


@final
class WatchRelay:
    """Copies the lines of a member's stream to an HTTP response.

    Until the first line another member is tried; after it the connection is
    aborted, so that no end looks like the whole.
    """

    def __init__(
        self,
        request: Any,
        head: WatchRequest,
        links: list[Link],
        write_answer: Callable[[Any, ApiResponse], None],
    ) -> None:
        """Create the relay of one HTTP request."""
        self._request = request
        self._head = head
        self._links = links
        self._write_answer = write_answer
        self._stream: Stream | None = None
        self._started = False
        self._finished = False
        self._paused = False
        self._unconsumed = 0

    def start(self) -> None:
        """Open the stream at the first member."""
        self._request.notifyFinish().addErrback(self._on_gone)
        self._request.registerProducer(self, streaming=True)
        self._try_next('no control instance can be reached')

    def data_received(self, chunk: bytes) -> None:
        """Pass lines on."""
        if not self._started:
            self._started = True
            content_type = 'application/x-ndjson'
            self._request.setHeader('Content-Type', content_type)
        self._unconsumed += len(chunk)
        self._request.write(chunk)
        self._grant_credit()

    def end_received(self) -> None:
        """Abort: a watch has no end of its own."""
        self.reset_received('ended')

    def reset_received(self, reason: str) -> None:
        """Try another member, or abort once lines have been passed on."""
        if self._finished:
            return
        if self._started:
            self._finished = True
            self._request.unregisterProducer()
            self._request.transport.abortConnection()
            return
        self._try_next(reason)

    def writable(self) -> None:
        """Nothing is sent towards the member."""

    def pauseProducing(self) -> None:
        """Grant no credit while the operator's connection is full."""
        self._paused = True

    def resumeProducing(self) -> None:
        """Grant the credit that was held back."""
        self._paused = False
        self._grant_credit()

    def stopProducing(self) -> None:
        """End the watch."""
        self._on_gone(None)

    def _try_next(self, reason: str) -> None:
        status = _STATUS_BY_REASON.get(reason)
        if status is None and self._links:
            link = self._links.pop(0)
            self._stream = link.open_stream(Method.watch, self._head, self)
            return
        self._finished = True
        self._request.unregisterProducer()
        self._write_answer(
            self._request,
            create_error(status or HTTPStatus.SERVICE_UNAVAILABLE, reason),
        )

    def _grant_credit(self) -> None:
        if self._paused or self._stream is None:
            return
        self._stream.consumed(self._unconsumed)
        self._unconsumed = 0

    def _on_gone(self, _: Any) -> None:
        if self._finished:
            return
        self._finished = True
        if self._stream is not None:
            self._stream.reset('the watcher has gone')
