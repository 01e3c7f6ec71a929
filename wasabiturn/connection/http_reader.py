"""Incremental readers of HTTP/1.1 messages, with limits on their size.

The memory that a message costs depends on its bytes only, not on how they are
split: its body has one buffer, and what frames the body is not kept.
"""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, final

import httptools

from wasabiturn.connection.http_limits import DEFAULT_LIMITS, HttpLimits
from wasabiturn.connection.http_messages import HttpError, HttpRequest
from wasabiturn.connection.rejections import RejectionCause

# Lower ones are interim, and another response follows.
FIRST_FINAL_STATUS = 200
# Framing that a part of a body may have, on average: the size of its chunk,
# leading zeros and extensions.
FRAMING_BYTES_PER_PART = 32
# Memory of a header beside its text: two strings and an entry of a table.
HEADER_OVERHEAD_BYTES = 250


class MessageReader:
    """Collects the parts that the parser finds in one message at a time.

    The names of the ``on_`` methods are those that httptools calls.
    """

    def __init__(
        self, create_parser: Callable[[Any], Any], limits: HttpLimits
    ) -> None:
        """Create a reader of one connection with a parser of httptools."""
        self.headers_by_name: dict[str, str] = {}
        self.limits = limits
        self.is_in_message = False
        self.has_head = False
        # Memory that the message took which was passed on last.
        self.message_bytes = 0
        self._target = b''
        self._body = bytearray()
        self._head_bytes = 0
        self._body_parts = 0
        # Received since the last message, without its body. Bytes that follow
        # the end of a message in one read are not counted.
        self._framing_bytes = 0
        self._parser = create_parser(self)

    @property
    def body_bytes(self) -> int:
        """Return how much of the body has been received."""
        return len(self._body)

    @property
    def held_bytes(self) -> int:
        """Return the memory that the unfinished message takes."""
        head_bytes = self._head_bytes if self.has_head else self._framing_bytes
        overhead_bytes = len(self.headers_by_name) * HEADER_OVERHEAD_BYTES
        return head_bytes + overhead_bytes + len(self._body)

    def feed(self, received: bytes) -> None:
        """Read received bytes.

        Raises:
            HttpError: the bytes are not HTTP/1.1, or a message is too large.
        """
        self._framing_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade as error:
            raise HttpError('cannot change the protocol') from error
        except httptools.HttpParserCallbackError as error:
            raise _find_cause(error) from error
        except httptools.HttpParserError as error:
            raise HttpError(f'malformed message: {error}') from error
        if self._framing_bytes > self.limits.max_head_bytes:
            self._check_framing()

    def keeps_alive(self) -> bool:
        """Return whether the peer wants to use the connection again."""
        return bool(self._parser.should_keep_alive())

    def drop_message(self) -> None:
        """Forget what was received of a message."""
        self.headers_by_name = {}
        self.is_in_message = False
        self.has_head = False
        self._target = b''
        self._head_bytes = 0
        self._framing_bytes = 0
        if self._body_parts:
            self._body = bytearray()
            self._body_parts = 0

    def on_message_begin(self) -> None:
        """Begin a message."""
        self.headers_by_name = {}
        self.is_in_message = True

    def on_header(self, name: bytes, text: bytes) -> None:
        """Collect a header; only count a trailer, which nothing uses."""
        self._head_bytes += len(name) + len(text)
        if self._head_bytes > self.limits.max_head_bytes:
            raise _create_head_error('the head is too long')
        if self.has_head:
            return
        key = name.decode('latin-1').lower()
        self.headers_by_name[key] = text.decode('latin-1')
        if len(self.headers_by_name) > self.limits.max_header_fields:
            raise _create_head_error('the message has too many header fields')

    def on_headers_complete(self) -> None:
        """Reject a message whose declared body is too large."""
        self.has_head = True
        declared = self.headers_by_name.get('content-length')
        if declared is not None and declared.isdigit():
            self._check_body(int(declared))

    def on_body(self, part: bytes) -> None:
        """Append a part to the body."""
        self._framing_bytes -= len(part)
        self._body_parts += 1
        self._check_body(len(self._body) + len(part))
        self._body += part

    def take_body(self) -> bytes:
        """Return the body of the message that is complete, and forget it."""
        body = bytes(self._body) if self._body_parts else b''
        self.message_bytes = self.held_bytes
        self.drop_message()
        return body

    def _check_body(self, size: int) -> None:
        if size > self.limits.max_body_bytes:
            raise HttpError(
                f'the body is over {self.limits.max_body_bytes} bytes',
                RejectionCause.body_size,
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            )

    def _check_framing(self) -> None:
        if not self.has_head:
            raise _create_head_error('the head is too long')
        allowed_bytes = (
            self.limits.max_head_bytes
            + self._body_parts * FRAMING_BYTES_PER_PART
        )
        if self._framing_bytes > allowed_bytes:
            raise HttpError(
                'the framing of the body is too long', RejectionCause.framing
            )


@final
class RequestReader(MessageReader):
    """Reads requests, and passes each to ``on_request`` once it is whole."""

    def __init__(
        self,
        on_request: Callable[[HttpRequest], None],
        on_expectation: Callable[[], None],
        limits: HttpLimits = DEFAULT_LIMITS,
    ) -> None:
        """Create the reader of one connection.

        ``on_expectation`` is called for a client that sends its body only
        after an interim response.
        """
        super().__init__(httptools.HttpRequestParser, limits)
        self._on_request = on_request
        self._on_expectation = on_expectation

    def on_url(self, part: bytes) -> None:
        """Collect a part of the request target."""
        self._head_bytes += len(part)
        if self._head_bytes > self.limits.max_head_bytes:
            raise _create_head_error('the request target is too long')
        self._target += part

    def on_headers_complete(self) -> None:
        """Ask for the body if the client waits for that."""
        super().on_headers_complete()
        expected = self.headers_by_name.get('expect')
        if expected is not None and expected.lower() == '100-continue':
            self._on_expectation()

    def on_message_complete(self) -> None:
        """Pass on the request, unless it asks for another protocol."""
        if self._parser.should_upgrade():
            raise HttpError('cannot change the protocol')
        path = self._target.partition(b'?')[0].decode('latin-1')
        headers_by_name = self.headers_by_name
        self._on_request(
            HttpRequest(
                method=self._parser.get_method().decode('latin-1'),
                path=path,
                headers_by_name=headers_by_name,
                body=self.take_body(),
            ),
        )


@final
class ResponseReader(MessageReader):
    """Reads responses, and passes status and body of each to ``on_response``.

    Interim responses are passed over.
    """

    def __init__(
        self,
        on_response: Callable[[int, bytes], None],
        limits: HttpLimits = DEFAULT_LIMITS,
    ) -> None:
        """Create the reader of one connection."""
        super().__init__(httptools.HttpResponseParser, limits)
        self._on_response = on_response

    def on_message_complete(self) -> None:
        """Pass on the response, unless it is an interim one."""
        status = self._parser.get_status_code()
        body = self.take_body()
        if status >= FIRST_FINAL_STATUS:
            self._on_response(status, body)


def _create_head_error(text: str) -> HttpError:
    return HttpError(
        text,
        RejectionCause.head_size,
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    )


def _find_cause(error: httptools.HttpParserCallbackError) -> HttpError:
    """Return the error that a callback has raised."""
    cause = error.__context__
    return cause if isinstance(cause, HttpError) else HttpError(f'{error}')
