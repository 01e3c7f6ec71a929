"""Conversion between message heads and the HTTP messages of a backend."""

from collections.abc import Iterator
from typing import Any, cast

from twisted.web.client import Request, Response
from twisted.web.http import NO_CONTENT, NOT_MODIFIED
from twisted.web.http_headers import Headers
from twisted.web.iweb import UNKNOWN_LENGTH

from wasabiturn.exceptions import RequestError
from wasabiturn.messages.kinds import Verdict
from wasabiturn.messages.session import LoadReport, RequestHead, ResponseHead
from wasabiturn.messages.state import Header
from wasabiturn.request.hop_by_hop import remove_hop_by_hop

CONTENT_LENGTH = 'content-length'
ENCODING = 'latin-1'

# Twisted sets Content-Length from the body; the entry has handled Expect.
_REPLACED_HEADERS = frozenset((CONTENT_LENGTH, 'expect'))


class InvalidRequestError(RequestError):
    """The request is malformed and cannot be sent to a backend server."""


def build_request(head: RequestHead, upload: Any, address: str) -> Request:
    """Build the HTTP request for ``head``.

    Raises:
        InvalidRequestError: the method, the path or a header is malformed.
    """
    try:
        return Request(
            head.method.encode('ascii'),
            head.path.encode('ascii'),
            _request_headers(head, address),
            upload,
            persistent=True,
        )
    except ValueError as error:
        raise InvalidRequestError(str(error)) from error


def parse_content_length(head: RequestHead) -> int | None:
    """Return the value of ``Content-Length``, ``None`` if it is missing.

    Raises:
        InvalidRequestError: the values conflict or are not a number.
    """
    declared = {
        header.value.strip()
        for header in head.headers
        if header.name.lower() == CONTENT_LENGTH
    }
    if not declared:
        return None
    length = declared.pop()
    if declared or not (length.isascii() and length.isdigit()):
        raise InvalidRequestError('conflicting or malformed Content-Length')
    return int(length)


def build_response_head(response: Response, load: LoadReport) -> ResponseHead:
    """Build the response head from the response of the backend server."""
    headers = remove_hop_by_hop(_received_headers(response))
    if _should_add_length(response):
        headers.append(
            Header(name='Content-Length', value=str(response.length))
        )
    return ResponseHead(
        verdict=Verdict.answered,
        status=response.code,
        headers=headers,
        load=load,
    )


def _request_headers(head: RequestHead, address: str) -> Headers:
    headers = Headers()
    for header in remove_hop_by_hop(head.headers):
        if header.name.lower() not in _REPLACED_HEADERS:
            headers.addRawHeader(
                header.name.encode(ENCODING),
                header.value.encode(ENCODING),
            )
    if not headers.hasHeader(b'host'):
        headers.addRawHeader(b'Host', address.encode(ENCODING))
    return headers


def _received_headers(response: Response) -> Iterator[Header]:
    for name, raw_values in response.headers.getAllRawHeaders():
        for raw_value in raw_values:
            yield Header(
                name=name.decode(ENCODING), value=raw_value.decode(ENCODING)
            )


def _should_add_length(response: Response) -> bool:
    """Return whether to add a ``Content-Length`` header.

    Responses to HEAD keep the header that the backend server sent; 204 and
    304 responses have no body.
    """
    is_known = response.length is not UNKNOWN_LENGTH
    is_head = cast(Any, response.request).method == b'HEAD'
    return (
        is_known
        and not is_head
        and response.code not in {NO_CONTENT, NOT_MODIFIED}
    )
