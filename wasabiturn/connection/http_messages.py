"""HTTP requests and responses whose bodies are held in memory."""

from http import HTTPStatus
from typing import final

import attrs

from wasabiturn.connection.rejections import RejectionCause
from wasabiturn.exceptions import ConnectionLayerError


@final
class HttpError(ConnectionLayerError):
    """The peer broke the protocol or a limit.

    ``status`` is that of the response to a request with this error.
    """

    def __init__(
        self,
        text: str,
        cause: RejectionCause = RejectionCause.malformed,
        status: HTTPStatus = HTTPStatus.BAD_REQUEST,
    ) -> None:
        """Create the error of a message that is malformed by default."""
        super().__init__(text)
        self.cause = cause
        self.status = status


@final
@attrs.frozen
class HttpRequest:
    """Request that was received whole; header names are in lower case."""

    method: str
    path: str
    headers_by_name: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b''


@final
@attrs.frozen
class HttpResponse:
    """Response to one request; ``content_type`` describes the body."""

    status: int
    body: bytes = b''
    content_type: str = 'application/json'
    headers: tuple[tuple[str, str], ...] = ()


def encode_response(response: HttpResponse, closes: bool) -> bytes:
    """Return the bytes of a response; ``closes`` announces a closing."""
    lines = [
        f'HTTP/1.1 {response.status} {_phrase_of(response.status)}',
        f'Content-Type: {response.content_type}',
        f'Content-Length: {len(response.body)}',
        *(f'{name}: {text}' for name, text in response.headers),
    ]
    if closes:
        lines.append('Connection: close')
    return _join_head(lines) + response.body


def encode_request(request: HttpRequest, host: str) -> bytes:
    """Return the bytes of a request to ``host``."""
    lines = [
        f'{request.method} {request.path} HTTP/1.1',
        f'Host: {host}',
        f'Content-Length: {len(request.body)}',
        *(f'{name}: {text}' for name, text in request.headers_by_name.items()),
    ]
    return _join_head(lines) + request.body


def _join_head(lines: list[str]) -> bytes:
    head = '\r\n'.join(lines)
    return f'{head}\r\n\r\n'.encode('latin-1')


def _phrase_of(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return 'Unknown'
