"""Client of the platform's worker interface (HTTP and JSON).

Only this module depends on the format of that interface. Deadlines are sent as
times of the worker's own clock, so that a request that is delivered late
neither starts a task late nor extends its lease. The clock of a worker that
restarts may start anew, so a start also names the incarnation that it is for.
"""

import json
from typing import Any, final
from urllib.parse import quote

import attrs
import cattrs
from twisted.internet import error as tcp_errors
from twisted.internet.defer import Deferred
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers

from wasabiturn.connection.body_producer import BytesBodyProducer
from wasabiturn.connection.worker_messages import (
    Listing,
    RefusedByPlatformError,
    RunName,
    RunRequest,
    WorkerDownError,
)
from wasabiturn.exceptions import PlatformError
from wasabiturn.messages.kinds import AttemptState, Kind
from wasabiturn.utils.json_text import read_json

CONNECT_TIMEOUT_SECONDS = 1.0
REQUEST_TIMEOUT_SECONDS = 2.0
CHECKPOINT_TIMEOUT_SECONDS = 10.0
# A worker's clock is less than 2 % slower than the clock of this process.
MAX_CLOCK_DRIFT = 0.02
MIN_HTTP_ERROR_STATUS = 400
MIN_HTTP_SERVER_ERROR_STATUS = 500


@final
class WorkerClient:
    """Client of one worker."""

    def __init__(self, url: str, reactor: Any) -> None:
        """Create a client of the worker at ``url``; it connects when used."""
        self._url = url.rstrip('/')
        self._reactor = reactor
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._agent = Agent(
            reactor,
            connectTimeout=CONNECT_TIMEOUT_SECONDS,
            pool=self._pool,
        )
        self._clock = _WorkerClock()

    def fetch_listing(self) -> Deferred[Listing]:
        """Fetch the listing of the worker; fails with ``PlatformError``."""
        fetched = self._request('GET', '/v1/state', None)
        fetched.addCallback(self._read_listing)
        return fetched

    def start(self, request: RunRequest) -> Deferred[None]:
        """Start a run under a lease, no later than ``start_until``.

        Fails with ``RefusedByPlatformError`` if it was not started, and with
        another ``PlatformError`` if that is unknown.
        """
        body = {
            'task': request.task,
            'attempt': request.attempt,
            'size': attrs.asdict(request.size),
            'kind': request.task_kind,
            'service': request.owner_kind is Kind.service,
            'command': request.command,
            'checkpoint': request.checkpoint,
            'run_seconds': request.run_seconds,
            'throttle': request.throttle,
            'start_until': self._clock.deadline(request.start_until),
            'lease_until': self._clock.deadline(request.lease_until),
            'incarnation': request.incarnation,
        }
        return self._request('POST', '/v1/runs', body).addCallback(
            _ignore_answer
        )

    def renew(self, names: list[RunName], until: float) -> Deferred[None]:
        """Extend the leases of runs to ``until``."""
        body = {
            'lease_until': self._clock.deadline(until),
            'runs': [attrs.asdict(name) for name in names],
        }
        return self._request('POST', '/v1/leases', body).addCallback(
            _ignore_answer
        )

    def throttle(self, name: RunName, share: float) -> Deferred[None]:
        """Limit a run to ``share`` of full speed."""
        path = f'{_run_path(name)}/throttle'
        return self._request('POST', path, {'share': share}).addCallback(
            _ignore_answer
        )

    def checkpoint(self, name: RunName) -> Deferred[str]:
        """Save the progress of a run; the Deferred gets the checkpoint."""
        path = f'{_run_path(name)}/checkpoint'
        saved = self._request('POST', path, {}, CHECKPOINT_TIMEOUT_SECONDS)
        return saved.addCallback(lambda answer: str(answer['checkpoint']))

    def stop(self, name: RunName) -> Deferred[None]:
        """Stop a run; later listings show when it has stopped."""
        path = f'{_run_path(name)}/stop'
        return self._request('POST', path, {}).addCallback(_ignore_answer)

    def forget(self, name: RunName) -> Deferred[None]:
        """Remove an ended run from the listing of the worker."""
        return self._request('DELETE', _run_path(name), None).addCallback(
            _ignore_answer
        )

    def close(self) -> Deferred[None]:
        """Close the cached connections."""
        closed: Deferred[None] = self._pool.closeCachedConnections()
        return closed

    def _request(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        timeout_seconds: float = REQUEST_TIMEOUT_SECONDS,
    ) -> Deferred[Any]:
        sent = self._agent.request(
            method.encode(),
            f'{self._url}{path}'.encode(),
            Headers({'content-type': ['application/json']}),
            _create_body(body),
        )
        answered: Deferred[Any] = sent.addCallback(self._read)
        answered.addTimeout(timeout_seconds, self._reactor)
        answered.addErrback(_convert_error)
        return answered

    def _read(self, response: Any) -> Deferred[Any]:
        whole = readBody(response)
        return whole.addCallback(_decode, response.code)

    def _read_listing(self, answer: Any) -> Listing:
        listing = read_listing(answer)
        self._clock.observe(listing.now, self._reactor.seconds())
        return listing


def create_worker_client(url: str, reactor: Any) -> WorkerClient:
    """Create the client of the worker at ``url``."""
    return WorkerClient(url=url, reactor=reactor)


@final
@attrs.define
class _WorkerClock:
    """Lower bound of the worker's clock, from its newest listing."""

    worker_now: float = 0.0
    received_at: float = 0.0

    def observe(self, worker_now: float, received_at: float) -> None:
        self.worker_now = worker_now
        self.received_at = received_at

    def deadline(self, until: float) -> float:
        left_seconds = until - self.received_at
        return self.worker_now + left_seconds * (1 - MAX_CLOCK_DRIFT)


def _create_body(body: dict[str, Any] | None) -> Any:
    if body is None:
        return None
    return BytesBodyProducer(json.dumps(body).encode())


_converter = cattrs.Converter()
_converter.register_structure_hook(
    AttemptState,
    lambda raw, _: AttemptState[raw],
)
# Messages can't hold the lone surrogates that JSON may bring.
_converter.register_structure_hook(
    str,
    lambda raw, _: str(raw).encode('utf-8', 'replace').decode(),
)


def read_listing(answer: Any) -> Listing:
    """Convert the decoded JSON of a listing.

    Raises:
        PlatformError: the listing is malformed.
    """
    try:
        return _converter.structure(answer, Listing)
    except Exception as error:
        raise PlatformError(f'malformed listing: {error!r}') from error


def _run_path(name: RunName) -> str:
    return f'/v1/runs/{quote(name.task, safe="")}/{name.attempt}'


def _decode(body: bytes, code: int) -> Any:
    try:
        answer = read_json(body) if body else {}
    except ValueError as error:
        raise PlatformError(
            f'answer of the worker is not JSON: {error}'
        ) from error
    # The worker may have carried out the request before it failed.
    if code >= MIN_HTTP_SERVER_ERROR_STATUS:
        raise PlatformError(f'the worker answered with status {code}')
    if code >= MIN_HTTP_ERROR_STATUS:
        raise RefusedByPlatformError(str(answer.get('error', code)))
    return answer


def _convert_error(failure: Any) -> Any:
    if failure.check(PlatformError):
        return failure
    if failure.check(tcp_errors.ConnectionRefusedError):
        raise WorkerDownError('nothing listens') from failure.value
    raise PlatformError(repr(failure.value)) from failure.value


def _ignore_answer(answer: Any) -> None:
    """Ignore the body of an answer; its status says that it succeeded."""
