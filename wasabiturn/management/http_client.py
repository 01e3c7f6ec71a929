"""HTTP client of the operators' API, with retries across servers.

A write has a request id. If its response is lost, the write is retried with
the same id, so that it takes effect at most once.
"""

import json
import secrets
from typing import Any, Protocol, final

import attrs
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure as TwistedFailure

from wasabiturn.exceptions import WasabiturnError
from wasabiturn.management.exit_codes import ExitCode

ATTEMPT_TIMEOUT_SECONDS = 6.0
RETRY_DELAY_SECONDS = 0.3
DEFAULT_TIMEOUT_SECONDS = 15.0
_REQUEST_ID_BYTES = 16
_MIN_ERROR_STATUS = 400
_UNAVAILABLE_STATUS = 503


@final
@attrs.frozen
class HttpRequest:
    """One HTTP request, sent unchanged to each server that is tried."""

    method: str
    path: str
    headers: dict[str, str] = attrs.field(factory=dict, repr=False)
    body: bytes = b''


@final
@attrs.frozen
class HttpResponse:
    """Status, ``Wasabiturn-Outcome`` header and JSON body of a response."""

    status: int
    outcome: str
    content: dict[str, Any]


@final
class ApiError(WasabiturnError):
    """The API refused a request or did not respond in time."""

    def __init__(
        self,
        message: str,
        exit_code: ExitCode,
        status: int = 0,
    ) -> None:
        """Create the error; ``status`` is 0 if there was no response."""
        super().__init__(message)
        self.exit_code = exit_code
        self.status = status


class HttpSender(Protocol):
    """Interface that sends one request to one server."""

    def send(self, server: str, request: HttpRequest) -> Deferred[HttpResponse]:
        """Fire with the complete response; fail if it is lost or too late."""


@final
@attrs.define
class ApiClient:
    """Client of the API at ``servers`` (each ``ip:port``), tried in turn."""

    servers: list[str]
    token: str = attrs.field(repr=False)
    timeout_seconds: float
    sender: HttpSender
    clock: Any
    next_server_index: int = 0

    def read(self, path: str) -> Deferred[dict[str, Any]]:
        """Send a GET request for ``path``; fail with ``ApiError``."""
        return self._send('GET', path, {}, b'')

    def write(
        self,
        method: str,
        path: str,
        content: Any = None,
        revision: int | None = None,
    ) -> Deferred[dict[str, Any]]:
        """Write ``content``; if ``revision`` is given, only at that revision.

        Fails with ``ApiError``; its exit code tells whether the write
        certainly did not run.
        """
        headers = {'Request-Id': secrets.token_hex(_REQUEST_ID_BYTES)}
        if revision is not None:
            headers['If-Match'] = f'"{revision}"'
        body = b'' if content is None else json.dumps(content).encode()
        return self._send(method, path, headers, body)

    def headers(self) -> dict[str, str]:
        """Return the headers of every request."""
        if self.token:
            return {'Authorization': f'Bearer {self.token}'}
        return {}

    def choose_server(self) -> str:
        """Return the next server, round robin."""
        server = self.servers[self.next_server_index % len(self.servers)]
        self.next_server_index += 1
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
        completion: Deferred[dict[str, Any]] = Deferred()
        exchange = _Exchange(
            client=self,
            request=request,
            deadline=self.clock.seconds() + self.timeout_seconds,
            completion=completion,
        )
        exchange.attempt()
        return completion


@final
@attrs.define
class _Exchange:
    """One request, retried at the next server until its deadline."""

    client: ApiClient
    request: HttpRequest
    deadline: float
    completion: Deferred[dict[str, Any]]
    may_have_run: bool = False
    reason: str = ''

    def attempt(self) -> None:
        server = self.client.choose_server()
        sent = self.client.sender.send(server, self.request)
        sent.addCallbacks(
            self._on_response, self._on_no_response, errbackArgs=(server,)
        )
        sent.addErrback(self.completion.errback)

    def _on_response(self, response: HttpResponse) -> None:
        if response.status == _UNAVAILABLE_STATUS:
            self.may_have_run |= response.outcome == 'unknown'
            self.reason = _describe_error(response)
            self._retry()
        elif response.status >= _MIN_ERROR_STATUS:
            error = ApiError(
                _describe_error(response),
                ExitCode.refused,
                response.status,
            )
            self.completion.errback(error)
        else:
            self.completion.callback(response.content)

    def _on_no_response(self, failure: TwistedFailure, server: str) -> None:
        error = failure.value
        self.may_have_run |= not getattr(error, 'never_connected', False)
        self.reason = f'{server}: {error}'
        self._retry()

    def _retry(self) -> None:
        clock = self.client.clock
        if clock.seconds() + RETRY_DELAY_SECONDS >= self.deadline:
            self.completion.errback(self._create_error())
            return
        clock.callLater(RETRY_DELAY_SECONDS, self.attempt)

    def _create_error(self) -> ApiError:
        if self.may_have_run and self.request.method != 'GET':
            text = f'the outcome is unknown: {self.reason}'
            return ApiError(text, ExitCode.unknown)
        return ApiError(f'not run: {self.reason}', ExitCode.not_run)


def _describe_error(response: HttpResponse) -> str:
    error = response.content.get('error', {})
    message = str(error.get('message', f'status {response.status}'))
    field = error.get('field')
    return f'{field}: {message}' if field else message
