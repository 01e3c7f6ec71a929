"""Relay of a watch from a control instance to an HTTP client."""

from collections.abc import Callable
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, final

from wasabiturn.connection.link import Link
from wasabiturn.connection.streams import Stream
from wasabiturn.messages.kinds import Method
from wasabiturn.messages.session import ApiResponse, WatchRequest
from wasabiturn.process.api_responses import create_error_response

_STATUS_BY_REASON = MappingProxyType(
    {
        'unauthorized': HTTPStatus.UNAUTHORIZED,
        'not watched': HTTPStatus.UNPROCESSABLE_ENTITY,
    }
)


@final
class WatchRelay:
    """Copies the stream of a control member to an HTTP response.

    If the stream fails before the first data, the next member is tried. If it
    fails later, the HTTP connection is aborted, so that the client does not
    take the truncated response for a complete one.
    """

    def __init__(
        self,
        request: Any,
        watch_request: WatchRequest,
        links: list[Link],
        write_response: Callable[[Any, ApiResponse], None],
    ) -> None:
        """Create the relay of one HTTP request."""
        self._request = request
        self._watch_request = watch_request
        self._links = links
        self._write_response = write_response
        self._stream: Stream | None = None
        self._started = False
        self._finished = False
        self._paused = False
        self._uncredited_bytes = 0

    def start(self) -> None:
        """Open the stream at the first member."""
        self._request.notifyFinish().addErrback(self._on_disconnect)
        self._request.registerProducer(self, streaming=True)
        self._try_next_member('no control instance can be reached')

    def data_received(self, chunk: bytes) -> None:
        """Write the received lines to the client."""
        if not self._started:
            self._started = True
            content_type = 'application/x-ndjson'
            self._request.setHeader('Content-Type', content_type)
        self._uncredited_bytes += len(chunk)
        self._request.write(chunk)
        self._grant_credit()

    def end_received(self) -> None:
        """Handle the end as a failure: a watch never ends on its own."""
        self.reset_received('ended')

    def reset_received(self, reason: str) -> None:
        """Try the next member, or abort if lines were already sent."""
        if self._finished:
            return
        if self._started:
            self._finished = True
            self._request.unregisterProducer()
            self._request.transport.abortConnection()
            return
        self._try_next_member(reason)

    def writable(self) -> None:
        """Do nothing: no data is sent to the member."""

    def pauseProducing(self) -> None:
        """Grant no credit while the send buffer to the client is full."""
        self._paused = True

    def resumeProducing(self) -> None:
        """Grant the credit that was withheld while paused."""
        self._paused = False
        self._grant_credit()

    def stopProducing(self) -> None:
        """End the watch because the client has disconnected."""
        self._on_disconnect(None)

    def _try_next_member(self, reason: str) -> None:
        status = _STATUS_BY_REASON.get(reason)
        if status is None and self._links:
            link = self._links.pop(0)
            self._stream = link.open_stream(
                Method.watch, self._watch_request, self
            )
            return
        self._finished = True
        self._request.unregisterProducer()
        self._write_response(
            self._request,
            create_error_response(
                status or HTTPStatus.SERVICE_UNAVAILABLE, reason
            ),
        )

    def _grant_credit(self) -> None:
        if self._paused or self._stream is None:
            return
        self._stream.consumed(self._uncredited_bytes)
        self._uncredited_bytes = 0

    def _on_disconnect(self, _: Any) -> None:
        if self._finished:
            return
        self._finished = True
        if self._stream is not None:
            self._stream.reset('the watcher has gone')
