"""Translation between heads of a stream and HTTP messages of the backend."""

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

# The length is stated anew, and the entry has answered Expect itself.
_REPLACED_NAMES = frozenset((CONTENT_LENGTH, 'expect'))


class RequestFormError(RequestError):
    """The request cannot be sent to a backend server as it stands."""


def build_request(head: RequestHead, upload: Any, address: str) -> Request:
    """Build the HTTP request for ``head``.

    Raises:
        RequestFormError: method, path or a header is out of form.
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
        raise RequestFormError(str(error)) from error


def declared_length(head: RequestHead) -> int | None:
    """Return the length that the headers declare for the request's body.

    Raises:
        RequestFormError: the lengths contradict each other or are no number.
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
        raise RequestFormError('conflicting or malformed Content-Length')
    return int(length)


def build_response_head(response: Response, load: LoadReport) -> ResponseHead:
    """Build the head of an answer from the backend's response."""
    headers = remove_hop_by_hop(_received_headers(response))
    if _states_length(response):
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
        if header.name.lower() not in _REPLACED_NAMES:
            headers.addRawHeader(
                header.name.encode(ENCODING),
                header.value.encode(ENCODING),
            )
    if not headers.hasHeader(b'host'):
        headers.addRawHeader(b'Host', address.encode(ENCODING))
    return headers


def _received_headers(response: Response) -> Iterator[Header]:
    for name, lines in response.headers.getAllRawHeaders():
        for line in lines:
            yield Header(
                name=name.decode(ENCODING), value=line.decode(ENCODING)
            )


def _states_length(response: Response) -> bool:
    """Return whether the length of the body is known and can be stated.

    Answers to HEAD keep the header that the backend sent; 204 and 304 have
    no body.
    """
    is_known = response.length is not UNKNOWN_LENGTH
    is_head = cast(Any, response.request).method == b'HEAD'
    return (
        is_known
        and not is_head
        and response.code not in {NO_CONTENT, NOT_MODIFIED}
    )
