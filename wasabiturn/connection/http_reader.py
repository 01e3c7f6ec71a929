"""Incremental readers of HTTP/1.1 messages, with limits on their size."""

from collections.abc import Callable
from typing import Any, final

import httptools

from wasabiturn.connection.http_messages import HttpError, HttpRequest

MAX_HEAD_BYTES = 65_536
MAX_BODY_BYTES = 8_388_608
# Lower ones are interim, and another response follows.
FIRST_FINAL_STATUS = 200


class MessageReader:
    """Collects the parts that the parser finds in one message at a time.

    The names of the ``on_`` methods are those that httptools calls.
    """

    def __init__(self, create_parser: Callable[[Any], Any]) -> None:
        """Create a reader of one connection with a parser of httptools."""
        self.headers_by_name: dict[str, str] = {}
        self._body_parts: list[bytes] = []
        self._head_bytes = 0
        self._body_bytes = 0
        self._parser = create_parser(self)

    def feed(self, received: bytes) -> None:
        """Read received bytes.

        Raises:
            HttpError: the bytes are not HTTP/1.1, or a message is too large.
        """
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade as error:
            raise HttpError('cannot change the protocol') from error
        except httptools.HttpParserCallbackError as error:
            raise HttpError(f'{error.__context__ or error}') from error
        except httptools.HttpParserError as error:
            raise HttpError(f'malformed message: {error}') from error

    def keeps_alive(self) -> bool:
        """Return whether the peer wants to use the connection again."""
        return bool(self._parser.should_keep_alive())

    def on_message_begin(self) -> None:
        """Forget the message before."""
        self.headers_by_name = {}
        self._body_parts = []
        self._head_bytes = 0
        self._body_bytes = 0

    def on_header(self, name: bytes, text: bytes) -> None:
        """Collect a header."""
        self._add_to_head(len(name) + len(text))
        key = name.decode('latin-1').lower()
        self.headers_by_name[key] = text.decode('latin-1')

    def on_body(self, part: bytes) -> None:
        """Collect a part of the body."""
        self._body_bytes += len(part)
        if self._body_bytes > MAX_BODY_BYTES:
            raise HttpError(f'the body is over {MAX_BODY_BYTES} bytes')
        self._body_parts.append(part)

    def take_body(self) -> bytes:
        """Return the body of the message that is complete."""
        return b''.join(self._body_parts)

    def _add_to_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES:
            raise HttpError(f'the head is over {MAX_HEAD_BYTES} bytes')


@final
class RequestReader(MessageReader):
    """Reads requests, and passes each to ``on_request`` once it is whole."""

    def __init__(
        self,
        on_request: Callable[[HttpRequest], None],
        on_expectation: Callable[[], None],
    ) -> None:
        """Create the reader of one connection.

        ``on_expectation`` is called for a client that sends its body only
        after an interim response.
        """
        super().__init__(httptools.HttpRequestParser)
        self._on_request = on_request
        self._on_expectation = on_expectation
        self._url = b''

    def on_url(self, part: bytes) -> None:
        """Collect a part of the request target."""
        self._add_to_head(len(part))
        self._url += part

    def on_headers_complete(self) -> None:
        """Ask for the body if the client waits for that."""
        expected = self.headers_by_name.get('expect', '')
        if expected.lower() == '100-continue':
            self._on_expectation()

    def on_message_complete(self) -> None:
        """Pass on the request."""
        path = self._url.partition(b'?')[0].decode('latin-1')
        self._url = b''
        self._on_request(
            HttpRequest(
                method=self._parser.get_method().decode('latin-1'),
                path=path,
                headers_by_name=self.headers_by_name,
                body=self.take_body(),
            ),
        )


@final
class ResponseReader(MessageReader):
    """Reads responses, and passes status and body of each to ``on_response``.

    Interim responses are passed over.
    """

    def __init__(self, on_response: Callable[[int, bytes], None]) -> None:
        """Create the reader of one connection."""
        super().__init__(httptools.HttpResponseParser)
        self._on_response = on_response

    def on_message_complete(self) -> None:
        """Pass on the response, unless it is an interim one."""
        status = self._parser.get_status_code()
        if status >= FIRST_FINAL_STATUS:
            self._on_response(status, self.take_body())
