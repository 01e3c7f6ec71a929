"""JSON over HTTP server for the platform's callers, operators and workers."""

import json
import time
from collections.abc import Callable
from typing import Any, final

import attrs
from twisted.internet.defer import CancelledError, Deferred, maybeDeferred
from twisted.python.failure import Failure

from wasabiturn.connection.calls import CallError
from wasabiturn.connection.http_messages import HttpRequest, HttpResponse
from wasabiturn.messages.kinds import FailureCode
from wasabiturn.platform.fields import InvalidBodyError
from wasabiturn.process import exposition
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
# Of a path, which may be as long as the head of a request.
MAX_LOGGED_CHARACTERS = 256

_log = create_component_log('http')


@final
@attrs.frozen
class Response:
    """Response to one request; ``body`` is encoded JSON."""

    status: int
    body: bytes = b'{}'
    retry_after_seconds: int = 0


Handler = Callable[[HttpRequest], Any]


@final
class JsonServer:
    """Passes each request to ``handler``; counts requests and errors."""

    def __init__(self, handler: Handler) -> None:
        """Create the server, which serves every path of a site."""
        self.in_flight = 0
        self._handler = handler

    def handle(self, request: HttpRequest) -> Deferred[HttpResponse]:
        """Handle one request; the Deferred does not fail."""
        self.in_flight += 1
        started_at = time.monotonic()
        handled: Deferred[Any] = maybeDeferred(self._handler, request)
        handled.addErrback(_create_error_response, request)
        handled.addCallback(self._finish, request, started_at)
        return handled

    def _finish(
        self, response: Response, request: HttpRequest, started_at: float
    ) -> HttpResponse:
        self.in_flight -= 1
        exposition.calls.labels(request.method, response.status).inc()
        elapsed_seconds = time.monotonic() - started_at
        exposition.call_seconds.labels(request.method).observe(elapsed_seconds)
        return _convert_response(response)


def encode(content: Any) -> bytes:
    """Return ``content`` encoded as compact JSON."""
    return json.dumps(content, separators=(',', ':')).encode()


def _convert_response(response: Response) -> HttpResponse:
    headers: tuple[tuple[str, str], ...] = ()
    if response.retry_after_seconds:
        headers = (('Retry-After', str(response.retry_after_seconds)),)
    return HttpResponse(
        status=response.status, body=response.body, headers=headers
    )


def _create_error_response(failure: Failure, request: HttpRequest) -> Response:
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
    elif isinstance(error, CallError | CancelledError):
        response = Response(status=GATEWAY_TIMEOUT)
    else:
        _log.warning(
            'request handler failed; responding with status 500',
            trace=failure.getTraceback(),
        )
        response = Response(status=SERVER_ERROR)
    _log.decision(
        'request failed; sending an error response',
        method=request.method,
        path=request.path[:MAX_LOGGED_CHARACTERS],
        status=response.status,
        reason=str(error),
    )
    return response


def _is_safe_to_retry(error: CallError, request: HttpRequest) -> bool:
    """Return whether the request can safely be sent again."""
    is_read = request.method == 'GET'
    return is_read or error.code in _CERTAINLY_NOT_RUN


_CERTAINLY_NOT_RUN = frozenset(
    (FailureCode.unavailable, FailureCode.not_leader),
)
