"""JSON over HTTP, as the platform's callers, operators and workers speak it."""

import json
import time
from collections.abc import Callable
from typing import Any, final

import attrs
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.python.failure import Failure
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from wasabiturn.connection.calls import CallError
from wasabiturn.connection.dialer import Endpoint
from wasabiturn.messages.kinds import FailureCode
from wasabiturn.platform.fields import InvalidBodyError
from wasabiturn.process import exposition
from wasabiturn.process.daemon import listen
from wasabiturn.utils.logs import create_part_log

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
GONE = 410
TOO_MANY_REQUESTS = 429
SERVER_ERROR = 500
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
# Longer than callers keep a connection without using it.
IDLE_SECONDS = 75
RETRY_SOON_SECONDS = 1

_log = create_part_log('http')


@final
@attrs.frozen
class Reply:
    """Answer to one request; ``body`` is JSON already."""

    status: int
    body: bytes = b'{}'
    retry_after_seconds: int = 0


Handler = Callable[[Request, bytes], Any]


@final
class JsonResource(Resource):
    """Hands each request to ``handler`` and writes its reply."""

    # The name is Twisted's.
    isLeaf = True  # noqa: N815

    def __init__(self, handler: Handler) -> None:
        """Create the resource of a whole address."""
        super().__init__()
        self.in_flight = 0
        self.is_closing = False
        self._handler = handler

    def render(self, request: Request) -> int:
        """Handle a request of any method."""
        self.in_flight += 1
        body = request.content.read() if request.content else b''
        gone: list[bool] = []
        request.notifyFinish().addErrback(lambda _: gone.append(True))
        handled: Deferred[Any] = maybeDeferred(self._handler, request, body)
        began_at = time.monotonic()
        handled.addErrback(_explain, request)
        handled.addCallback(_measure, request, began_at)
        handled.addCallback(self._write, request, gone)
        handled.addErrback(_log_failure)
        return NOT_DONE_YET

    def _write(self, reply: Reply, request: Request, gone: list[bool]) -> None:
        self.in_flight -= 1
        if gone:
            return
        request.setResponseCode(reply.status)
        request.setHeader(b'content-type', b'application/json')
        request.setHeader(b'content-length', b'%d' % len(reply.body))
        if reply.retry_after_seconds:
            seconds = b'%d' % reply.retry_after_seconds
            request.setHeader(b'retry-after', seconds)
        if self.is_closing:
            request.setHeader(b'connection', b'close')
        request.write(reply.body)
        request.finish()


def encode(content: Any) -> bytes:
    """Return ``content`` as JSON."""
    return json.dumps(content, separators=(',', ':')).encode()


def open_site(reactor: Any, endpoint: Endpoint, resource: JsonResource) -> Any:
    """Listen on ``endpoint``; the caller owns the returned port.

    Raises:
        ProcessError: the port cannot be used.
    """
    site = Site(resource, timeout=IDLE_SECONDS, reactor=reactor)
    site.noisy = False
    return listen(reactor, endpoint, site)


def path_of(request: Request) -> str:
    """Return the path of a request without its query."""
    return request.path.decode('latin-1') if request.path else ''


def method_of(request: Request) -> str:
    """Return the method of a request."""
    return request.method.decode('latin-1')


def _measure(reply: Reply, request: Request, began_at: float) -> Reply:
    kind = method_of(request)
    exposition.calls.labels(kind, reply.status).inc()
    passed = time.monotonic() - began_at
    exposition.call_seconds.labels(kind).observe(passed)
    return reply


def _explain(failure: Failure, request: Request) -> Reply:
    """Turn an error into the reply that says what is certain."""
    error: Any = failure.value
    if isinstance(error, InvalidBodyError):
        reply = Reply(status=BAD_REQUEST, body=encode({'error': str(error)}))
    elif isinstance(error, CallError) and _changes_nothing(error, request):
        reply = Reply(UNAVAILABLE, retry_after_seconds=RETRY_SOON_SECONDS)
    elif isinstance(error, CallError):
        reply = Reply(status=GATEWAY_TIMEOUT)
    else:
        _log.warning('handler failed', trace=failure.getTraceback())
        reply = Reply(status=SERVER_ERROR)
    _log.decision(
        'gives up',
        method=method_of(request),
        path=path_of(request),
        status=reply.status,
        reason=str(error),
    )
    return reply


def _changes_nothing(error: CallError, request: Request) -> bool:
    """Tell whether the request may be sent again without any doubt."""
    is_read = method_of(request) == 'GET'
    return is_read or error.code in _CERTAINLY_NOT_RUN


def _log_failure(failure: Failure) -> None:
    _log.warning('reply not written', error=repr(failure.value))


_CERTAINLY_NOT_RUN = frozenset(
    (FailureCode.unavailable, FailureCode.not_leader),
)
