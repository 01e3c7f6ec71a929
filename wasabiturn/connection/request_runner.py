"""Handles the requests of one connection, one after the other."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Protocol, final

from twisted.internet.defer import CancelledError, Deferred, maybeDeferred
from twisted.python.failure import Failure

from wasabiturn.connection.client_claims import Rank
from wasabiturn.connection.client_guard import REPORT_BYTES, ClientGuard
from wasabiturn.connection.http_messages import HttpRequest, HttpResponse
from wasabiturn.connection.rejections import RejectionCause
from wasabiturn.connection.request_queue import RequestQueue
from wasabiturn.connection.unread_watch import UnreadWatch
from wasabiturn.utils.logs import create_component_log

RETRY_AFTER_SECONDS = 1
_SAFE_METHODS = frozenset(('GET', 'HEAD'))

RequestHandler = Callable[[HttpRequest], HttpResponse | Deferred[HttpResponse]]

_log = create_component_log('http')


class RunnerSite(Protocol):
    """What handling a request needs of the site."""

    handle: RequestHandler
    rank: Rank
    guard: ClientGuard

    def may_be_outdated(self) -> bool:
        """Return whether what is read now may have waited in a pause."""

    def call_after_next_input(
        self, call: Callable[[HttpRequest], None], request: HttpRequest
    ) -> None:
        """Call once all input was read that has arrived until now."""


class RunnerConnection(Protocol):
    """What handling a request needs of the connection."""

    # Tells whether the client reads its responses.
    unread: UnreadWatch

    def respond(self, response: HttpResponse) -> None:
        """Send a response."""

    def resume(self) -> None:
        """Read more requests, as none waits."""


@final
class RequestRunner:
    """Passes whole requests to the site, and their responses back."""

    def __init__(self, site: RunnerSite, connection: RunnerConnection) -> None:
        """Create the runner of one connection."""
        self.queue = RequestQueue()
        self.is_busy = False
        self.has_served = False
        self._site = site
        self._connection = connection
        self._handled: Deferred[Any] | None = None
        self._is_lost = False

    def add(self, request: HttpRequest, message_bytes: int) -> bool:
        """Handle a request if it is the only one; return whether it waits."""
        self.has_served = True
        if (
            self.is_busy
            or self.queue.waiting
            or self._connection.unread.is_unread
        ):
            self.queue.add(request, message_bytes)
            return True
        if message_bytes >= REPORT_BYTES:
            self.queue.count(message_bytes)
        self._begin(request)
        return False

    def handle_next(self) -> None:
        """Handle the first request that waits."""
        if self._connection.unread.is_unread:
            return
        if not self.queue.waiting:
            self._connection.resume()
            return
        self._begin(self.queue.take())

    def cancel(self) -> None:
        """Drop what was not yet handled, and cancel what is."""
        self._is_lost = True
        self.queue.clear()
        if self._handled is not None:
            self._handled.cancel()

    def _begin(self, request: HttpRequest) -> None:
        self.is_busy = True
        guard = self._site.guard
        # Most often the first comparison decides.
        if guard.used_bytes > guard.bounds.budget_bytes and guard.is_exhausted(
            self._site.rank
        ):
            self._site.guard.record(RejectionCause.memory, self._site.rank)
            self._respond(create_unavailable_response())
        elif request.method in _SAFE_METHODS:
            self._handle(request)
        elif self._site.may_be_outdated():
            _log.event(
                'request may have waited while the process stood still',
                method=request.method,
                path=request.path,
            )
            self._respond(create_unavailable_response())
        else:
            self._site.call_after_next_input(self._handle_if_awaited, request)

    def _handle_if_awaited(self, request: HttpRequest) -> None:
        if not self._is_lost:
            self._handle(request)
            return
        _log.event(
            'client has gone; its request is not handled',
            method=request.method,
            path=request.path,
        )

    def _handle(self, request: HttpRequest) -> None:
        handled: Deferred[Any] = maybeDeferred(self._site.handle, request)
        self._handled = handled
        handled.addErrback(_create_error_response)
        handled.addCallback(self._respond)

    def _respond(self, response: HttpResponse) -> None:
        self._handled = None
        self.is_busy = False
        if self.queue.taken_bytes:
            self.queue.finish()
        if not self._is_lost:
            self._connection.respond(response)
            self.handle_next()


def create_unavailable_response() -> HttpResponse:
    """Return the response to a request that was not handled."""
    headers = (('Retry-After', str(RETRY_AFTER_SECONDS)),)
    return HttpResponse(status=HTTPStatus.SERVICE_UNAVAILABLE, headers=headers)


def _create_error_response(failure: Failure) -> HttpResponse:
    if failure.check(CancelledError):
        return create_unavailable_response()
    _log.warning(
        'request handler failed; responding with status 500',
        trace=failure.getTraceback(),
    )
    return HttpResponse(status=HTTPStatus.INTERNAL_SERVER_ERROR)
