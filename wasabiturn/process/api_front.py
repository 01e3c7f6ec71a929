"""HTTP server of the operators' API, on control instances and entries."""

import secrets
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Protocol, final

import attrs
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure as TwistedFailure
from twisted.web.http import Request as HttpRequest
from twisted.web.resource import Resource as WebResource
from twisted.web.server import NOT_DONE_YET, Request, Site

from wasabiturn.connection.calls import CallError
from wasabiturn.connection.link import Link
from wasabiturn.messages.kinds import FailureCode, Method
from wasabiturn.messages.session import ApiRequest, ApiResponse, WatchRequest
from wasabiturn.process.api_responses import (
    REQUEST_ID_HEADER,
    create_error_response,
    create_response,
    create_unavailable_response,
)
from wasabiturn.process.api_watch import WatchRelay
from wasabiturn.utils.logs import create_component_log
from wasabiturn.version.resources import KINDS_BY_ROUTE

MAX_BODY_BYTES = 1_000_000
CALL_TIMEOUT_SECONDS = 5.0
IDLE_TIMEOUT_SECONDS = 60
NO_REVISION = -1
_REQUEST_ID_BYTES = 16
_MAX_REQUEST_ID_LENGTH = 200

_log = create_component_log('api')


class ControlClient(Protocol):
    """Access of an API server to the control group."""

    def open_links(self) -> list[Link]:
        """Return the open links to control instances."""

    def call_leader(
        self,
        method: Method,
        message: Any,
        reply_class: type[ApiResponse],
        timeout_seconds: float,
    ) -> Deferred[ApiResponse]:
        """Call the leader; the result fails with ``CallError``."""


@final
@attrs.define
class ApiFront:
    """What the HTTP server uses of the process that it runs in."""

    path: ControlClient
    # Decides the response of /ready.
    is_ready: Callable[[], bool]
    # Returns the content of /v1/status; if None, the leader is asked.
    describe: Callable[[], dict[str, Any]] | None = None


@final
class ApiResource(WebResource):
    """Root resource of the API; it serves every path."""

    isLeaf = True  # noqa: N815

    def __init__(self, front: ApiFront) -> None:
        """Create the resource of one server."""
        super().__init__()
        self._front = front

    def render(self, request: Any) -> int:
        """Serve one request."""
        path = request.path.decode('ascii', 'replace')
        if path == '/health':
            write_response(
                request, create_response(HTTPStatus.OK, {'status': 'alive'})
            )
        elif path == '/ready':
            write_response(request, self._create_ready_response())
        elif path == '/v1/status' and self._front.describe is not None:
            described = create_response(HTTPStatus.OK, self._front.describe())
            write_response(request, described)
        elif _query_argument(request, 'watch') == '1':
            self._watch(request, path)
        else:
            self._relay(request, path)
        return NOT_DONE_YET

    def _create_ready_response(self) -> ApiResponse:
        if self._front.is_ready():
            return create_response(HTTPStatus.OK, {'status': 'ready'})
        text = 'no quorum has confirmed this process within 3 s'
        return create_error_response(HTTPStatus.SERVICE_UNAVAILABLE, text)

    def _relay(self, request: Any, path: str) -> None:
        message = _create_api_request(request, path)
        if message is None:
            text = f'at most {_MAX_REQUEST_ID_LENGTH} characters are expected'
            write_response(
                request,
                create_error_response(
                    HTTPStatus.BAD_REQUEST, text, REQUEST_ID_HEADER
                ),
            )
            return
        request.setHeader(REQUEST_ID_HEADER, message.request_id)
        is_write = message.method != 'GET'
        call = self._front.path.call_leader(
            Method.api,
            message,
            ApiResponse,
            CALL_TIMEOUT_SECONDS,
        )
        call.addErrback(_create_failure_response, is_write)
        call.addCallback(lambda response: write_response(request, response))

    def _watch(self, request: Any, path: str) -> None:
        kind = KINDS_BY_ROUTE.get(path.removeprefix('/v1/').strip('/'))
        if kind is None or request.method != b'GET':
            write_response(
                request,
                create_error_response(
                    HTTPStatus.NOT_FOUND, f'no watch of {path}'
                ),
            )
            return
        since = _query_argument(request, 'since') or str(NO_REVISION)
        if not since.lstrip('-').isdigit():
            text = 'a revision is expected'
            write_response(
                request,
                create_error_response(HTTPStatus.BAD_REQUEST, text, 'since'),
            )
            return
        watch_request = WatchRequest(
            kind=int(kind),
            since=int(since),
            authorization=_header(request, 'Authorization'),
        )
        links = self._front.path.open_links()
        WatchRelay(request, watch_request, links, write_response).start()


@final
class BoundedRequest(Request):
    """Request that is rejected once its body is too large."""

    def gotLength(self, length: int | None) -> None:
        """Reject a request whose declared body is too large."""
        super().gotLength(length)
        if length is not None and length > MAX_BODY_BYTES:
            self._reject_body()

    def handleContentChunk(self, data: bytes) -> None:
        """Reject a body without a declared length once it is too large."""
        super().handleContentChunk(data)
        if self.content is not None and self.content.tell() > MAX_BODY_BYTES:
            self._reject_body()

    def _reject_body(self) -> None:
        channel: Any = self.channel
        channel.transport.write(_TOO_LARGE_RESPONSE)
        channel.loseConnection()


_TOO_LARGE_RESPONSE = (
    b'HTTP/1.1 413 Request Entity Too Large\r\n'
    b'Content-Type: application/json\r\nConnection: close\r\n\r\n'
    + create_error_response(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        f'at most {MAX_BODY_BYTES} bytes',
        'body',
    ).body
)


def create_api_site(front: ApiFront, reactor: Any) -> Site:
    """Create the Twisted site that serves the API."""
    site = Site(
        ApiResource(front),
        requestFactory=BoundedRequest,
        timeout=IDLE_TIMEOUT_SECONDS,
        reactor=reactor,
    )
    site.noisy = False
    site.displayTracebacks = False
    return site


def write_response(request: HttpRequest, response: ApiResponse) -> None:
    """Write a complete response, unless the client has disconnected."""
    channel: Any = request.channel
    if channel is None:
        return
    request.setResponseCode(response.status)
    for header in response.headers:
        request.setHeader(header.name, header.value)
    request.setHeader('Content-Length', str(len(response.body)))
    request.write(response.body)
    request.finish()


def _create_api_request(request: Any, path: str) -> ApiRequest | None:
    given_id = _header(request, REQUEST_ID_HEADER)
    if len(given_id) > _MAX_REQUEST_ID_LENGTH:
        return None
    return ApiRequest(
        method=request.method.decode('ascii', 'replace'),
        path=path,
        request_id=given_id or secrets.token_hex(_REQUEST_ID_BYTES),
        if_match=_header(request, 'If-Match'),
        authorization=_header(request, 'Authorization'),
        body=request.content.read(),
        after=_query_argument(request, 'after'),
    )


def _create_failure_response(
    failure: TwistedFailure, is_write: bool
) -> ApiResponse:
    error: Any = failure.value
    if isinstance(error, CallError) and error.code in {
        FailureCode.unavailable,
        FailureCode.outcome_unknown,
    }:
        return create_unavailable_response(error, is_write)
    _log.warning('call to the control leader failed', error=repr(error))
    return create_error_response(
        HTTPStatus.INTERNAL_SERVER_ERROR,
        'the request failed; see the log of control',
    )


def _header(request: Any, name: str) -> str:
    return request.getHeader(name) or ''


def _query_argument(request: Any, name: str) -> str:
    found = request.args.get(name.encode(), [b''])
    return found[0].decode('ascii', 'replace')
