"""HTTP client of the operators' API: tries several servers in turn.

A write carries a request id and is sent again with it when its answer is
lost, so that it takes effect at most once.
"""

import json
import secrets
from typing import Any, Protocol, final

import attrs
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure as TwistedFailure

from wasabiturn.exceptions import WasabiturnError
from wasabiturn.management.exit_codes import ExitCode

ATTEMPT_SECONDS = 6.0
RETRY_SECONDS = 0.3
DEFAULT_TIMEOUT_SECONDS = 15.0
_REQUEST_ID_BYTES = 16
_FIRST_ERROR_STATUS = 400
_UNAVAILABLE_STATUS = 503


@final
@attrs.frozen
class HttpRequest:
    """One request, the same for each server that it is sent to."""

    method: str
    path: str
    headers: dict[str, str] = attrs.field(factory=dict, repr=False)
    body: bytes = b''


@final
@attrs.frozen
class HttpAnswer:
    """Status, outcome header and JSON of an answer."""

    status: int
    outcome: str
    content: dict[str, Any]


@final
class ApiError(WasabiturnError):
    """The API refused a request or gave no answer in time."""

    def __init__(
        self,
        message: str,
        exit_code: ExitCode,
        status: int = 0,
    ) -> None:
        """Create the error; ``status`` is 0 without an answer."""
        super().__init__(message)
        self.exit_code = exit_code
        self.status = status


class HttpSender(Protocol):
    """Sends one request to one server."""

    def send(self, server: str, request: HttpRequest) -> Deferred[HttpAnswer]:
        """Fire with the whole answer; fails when it is lost or late."""


@final
@attrs.define
class ApiClient:
    """Client of the API behind ``servers`` (``ip:port``)."""

    servers: list[str]
    token: str = attrs.field(repr=False)
    timeout_seconds: float
    sender: HttpSender
    clock: Any
    next_server: int = 0

    def read(self, path: str) -> Deferred[dict[str, Any]]:
        """Read ``path``; fails with ``ApiError``."""
        return self._send('GET', path, {}, b'')

    def write(
        self,
        method: str,
        path: str,
        content: Any = None,
        revision: int | None = None,
    ) -> Deferred[dict[str, Any]]:
        """Write ``content``, only at ``revision`` if it is given.

        Fails with ``ApiError``, whose exit code says whether the write is
        certain not to have run.
        """
        headers = {'Request-Id': secrets.token_hex(_REQUEST_ID_BYTES)}
        if revision is not None:
            headers['If-Match'] = f'"{revision}"'
        body = b'' if content is None else json.dumps(content).encode()
        return self._send(method, path, headers, body)

    def headers(self) -> dict[str, str]:
        """Return the headers that every request carries."""
        if self.token:
            return {'Authorization': f'Bearer {self.token}'}
        return {}

    def take_server(self) -> str:
        """Return the next server in turn."""
        server = self.servers[self.next_server % len(self.servers)]
        self.next_server += 1
        return server

    def _send(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> Deferred[dict[str, Any]]:
        request = HttpRequest(
            method=method,
            path=path,
            headers={**headers, **self.headers()},
            body=body,
        )
        settled: Deferred[dict[str, Any]] = Deferred()
        exchange = _Exchange(
            client=self,
            request=request,
            deadline=self.clock.seconds() + self.timeout_seconds,
            settled=settled,
        )
        exchange.attempt()
        return settled


@final
@attrs.define
class _Exchange:
    """One request on its way through the servers."""

    client: ApiClient
    request: HttpRequest
    deadline: float
    settled: Deferred[dict[str, Any]]
    may_have_run: bool = False
    reason: str = ''

    def attempt(self) -> None:
        server = self.client.take_server()
        sent = self.client.sender.send(server, self.request)
        sent.addCallbacks(self._on_answer, self._on_lost, errbackArgs=(server,))
        sent.addErrback(self.settled.errback)

    def _on_answer(self, answer: HttpAnswer) -> None:
        if answer.status == _UNAVAILABLE_STATUS:
            self.may_have_run |= answer.outcome == 'unknown'
            self.reason = _describe(answer)
            self._retry()
        elif answer.status >= _FIRST_ERROR_STATUS:
            error = ApiError(
                _describe(answer),
                ExitCode.refused,
                answer.status,
            )
            self.settled.errback(error)
        else:
            self.settled.callback(answer.content)

    def _on_lost(self, failure: TwistedFailure, server: str) -> None:
        error = failure.value
        self.may_have_run |= not getattr(error, 'never_connected', False)
        self.reason = f'{server}: {error}'
        self._retry()

    def _retry(self) -> None:
        clock = self.client.clock
        if clock.seconds() + RETRY_SECONDS >= self.deadline:
            self.settled.errback(self._create_error())
            return
        clock.callLater(RETRY_SECONDS, self.attempt)

    def _create_error(self) -> ApiError:
        if self.may_have_run and self.request.method != 'GET':
            text = f'the outcome is not known: {self.reason}'
            return ApiError(text, ExitCode.unknown)
        return ApiError(f'not run: {self.reason}', ExitCode.not_run)


def _describe(answer: HttpAnswer) -> str:
    error = answer.content.get('error', {})
    message = str(error.get('message', f'status {answer.status}'))
    field = error.get('field')
    return f'{field}: {message}' if field else message
