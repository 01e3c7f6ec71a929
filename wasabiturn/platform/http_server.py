"""JSON over HTTP server for the platform's callers, operators and workers."""

import json
import time
from collections.abc import Callable
from typing import Any, final

import attrs
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.python.failure import Failure
from twisted.web.http import Request

from wasabiturn.connection.calls import CallError
from wasabiturn.connection.dialer import Endpoint
from wasabiturn.connection.http_site import HttpSite
from wasabiturn.messages.kinds import FailureCode
from wasabiturn.platform.fields import InvalidBodyError
from wasabiturn.process import exposition
from wasabiturn.process.daemon import listen
from wasabiturn.utils.logs import create_component_log

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
GONE = 410
TOO_MANY_REQUESTS = 429
SERVER_ERROR = 500
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
MIN_RETRY_AFTER_SECONDS = 1

_log = create_component_log('http')


@final
@attrs.frozen
class Response:
    """Response to one request; ``body`` is encoded JSON."""

    status: int
    body: bytes = b'{}'
    retry_after_seconds: int = 0


Handler = Callable[[Request, bytes], Any]


@final
class JsonResource:
    """Passes each request to ``handler`` and writes its response."""

    def __init__(self, handler: Handler) -> None:
        """Create the resource, which serves every path of a site."""
        self.in_flight = 0
        self.is_closing = False
        self._handler = handler

    def render(self, request: Request) -> None:
        """Handle a request of any method."""
        self.in_flight += 1
        body = request.content.read() if request.content else b''
        disconnects: list[bool] = []
        request.notifyFinish().addErrback(lambda _: disconnects.append(True))
        handled: Deferred[Any] = maybeDeferred(self._handler, request, body)
        started_at = time.monotonic()
        handled.addErrback(_create_error_response, request)
        handled.addCallback(_record_metrics, request, started_at)
        handled.addCallback(self._write_response, request, disconnects)
        handled.addErrback(_log_failure)

    def _write_response(
        self, response: Response, request: Request, disconnects: list[bool]
    ) -> None:
        self.in_flight -= 1
        if disconnects:
            return
        request.setResponseCode(response.status)
        request.setHeader(b'content-type', b'application/json')
        request.setHeader(b'content-length', b'%d' % len(response.body))
        if response.retry_after_seconds:
            seconds = b'%d' % response.retry_after_seconds
            request.setHeader(b'retry-after', seconds)
        if self.is_closing:
            request.setHeader(b'connection', b'close')
        request.write(response.body)
        request.finish()


def encode(content: Any) -> bytes:
    """Return ``content`` encoded as compact JSON."""
    return json.dumps(content, separators=(',', ':')).encode()


def open_site(reactor: Any, endpoint: Endpoint, resource: JsonResource) -> Any:
    """Listen on ``endpoint``; the caller owns the returned port.

    Raises:
        ProcessError: the port cannot be used.
    """
    site = HttpSite(resource.render, reactor)
    return listen(reactor, endpoint, site)


def get_path(request: Request) -> str:
    """Return the path of a request without its query."""
    return request.path.decode('latin-1') if request.path else ''


def get_method(request: Request) -> str:
    """Return the method of a request."""
    return request.method.decode('latin-1')


def _record_metrics(
    response: Response, request: Request, started_at: float
) -> Response:
    http_method = get_method(request)
    exposition.calls.labels(http_method, response.status).inc()
    elapsed_seconds = time.monotonic() - started_at
    exposition.call_seconds.labels(http_method).observe(elapsed_seconds)
    return response


def _create_error_response(failure: Failure, request: Request) -> Response:
    """Return the error response for a request that failed.

    Its status is 503 if the request can safely be sent again, and 504 if it may
    have been executed.
    """
    error: Any = failure.value
    if isinstance(error, InvalidBodyError):
        response = Response(
            status=BAD_REQUEST, body=encode({'error': str(error)})
        )
    elif isinstance(error, CallError) and _is_safe_to_retry(error, request):
        response = Response(
            UNAVAILABLE, retry_after_seconds=MIN_RETRY_AFTER_SECONDS
        )
    elif isinstance(error, CallError):
        response = Response(status=GATEWAY_TIMEOUT)
    else:
        _log.warning(
            'request handler failed; responding with status 500',
            trace=failure.getTraceback(),
        )
        response = Response(status=SERVER_ERROR)
    _log.decision(
        'request failed; sending an error response',
        method=get_method(request),
        path=get_path(request),
        status=response.status,
        reason=str(error),
    )
    return response


def _is_safe_to_retry(error: CallError, request: Request) -> bool:
    """Return whether the request can safely be sent again."""
    is_read = get_method(request) == 'GET'
    return is_read or error.code in _CERTAINLY_NOT_RUN


def _log_failure(failure: Failure) -> None:
    _log.warning('cannot write the response', error=repr(failure.value))


_CERTAINLY_NOT_RUN = frozenset(
    (FailureCode.unavailable, FailureCode.not_leader),
)
