"""Calls of an agent on the worker beside it."""

from typing import Any, final

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError as NobodyListens
from twisted.python.failure import Failure
from twisted.web.client import (
    Agent,
    HTTPConnectionPool,
    readBody,
)
from twisted.web.http_headers import Headers

from wasabiturn.connection.dialer import Endpoint
from wasabiturn.connection.short_body import ShortBody
from wasabiturn.exceptions import PlatformError
from wasabiturn.messages.batch import PaceOrder, StartOrder, StopOrder
from wasabiturn.platform.fields import decode_object
from wasabiturn.platform.http_server import OK, encode
from wasabiturn.platform.workers import decode_listing
from wasabiturn.process.agent.runs.port import (
    HoldRequest,
    OrderRefusedError,
    OtherIncarnationError,
    RunListing,
    WorkerIdentity,
    WorkerNotListeningError,
)

CONNECT_SECONDS = 0.5
# Beyond the time that a call is to wait at the worker.
ANSWER_SECONDS = 0.6
MAX_CONNECTIONS = 5
CONFLICT = 409
OTHER_INSTANCE = 421
# Statuses with which a worker says that it has done nothing.
NOT_DONE = frozenset((400, 429, 503))
_MS = 1000


@final
class HttpWorker:
    """The worker at one address, over connections that are kept."""

    def __init__(self, endpoint: Endpoint, reactor: Any) -> None:
        """Create the client; it connects on use."""
        self._base = f'http://{endpoint}'
        self._reactor = reactor
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = MAX_CONNECTIONS
        self._pool.retryAutomatically = False
        self._pool.cachedConnectionTimeout = 60
        self._agent = Agent(
            reactor,
            connectTimeout=CONNECT_SECONDS,
            pool=self._pool,
        )

    def hold(
        self, identity: WorkerIdentity, hold: HoldRequest
    ) -> Deferred[RunListing]:
        """Renew the lease and list the runs; see ``WorkerPort``."""
        body: dict[str, Any] = {
            'fence': hold.fence,
            'acked_upto': hold.acknowledged,
        }
        if hold.lease_until_ms:
            body['until_ms'] = hold.lease_until_ms
        if hold.wait_ms:
            body['wait_ms'] = hold.wait_ms
        seconds = hold.wait_ms / _MS + ANSWER_SECONDS
        sent = self._post('/api/hold', identity, body, seconds)
        return sent.addCallback(decode_listing)

    def start(
        self,
        identity: WorkerIdentity,
        order: StartOrder,
        fence: int,
        lease_until_ms: int,
    ) -> Deferred[None]:
        """Start a run; see ``WorkerPort``."""
        body = {
            'task': order.task,
            'run': order.run,
            'spec': order.payload,
            'until_ms': lease_until_ms,
            'fence': fence,
        }
        if order.checkpoint:
            body['checkpoint_data'] = order.checkpoint
        sent = self._post('/api/run-start', identity, body, ANSWER_SECONDS)
        return sent.addCallback(_drop)

    def stop(
        self,
        identity: WorkerIdentity,
        order: StopOrder,
        fence: int,
    ) -> Deferred[None]:
        """Stop a run; see ``WorkerPort``."""
        body = {'task': order.task, 'run': order.run, 'fence': fence}
        sent = self._post('/api/run-stop', identity, body, ANSWER_SECONDS)
        return sent.addCallback(_drop)

    def pace(
        self,
        identity: WorkerIdentity,
        order: PaceOrder,
        fence: int,
    ) -> Deferred[None]:
        """Let a run work at a share of its speed; see ``WorkerPort``."""
        body = {
            'task': order.task,
            'run': order.run,
            'percent': order.percent,
            'fence': fence,
        }
        sent = self._post('/api/pace', identity, body, ANSWER_SECONDS)
        return sent.addCallback(_drop)

    def close(self) -> Deferred[None]:
        """Close kept connections."""
        closed: Deferred[None] = self._pool.closeCachedConnections()
        return closed

    def _post(
        self,
        path: str,
        identity: WorkerIdentity,
        body: dict[str, Any],
        timeout_seconds: float,
    ) -> Deferred[bytes]:
        headers = Headers(
            {
                'Content-Type': ['application/json'],
                # The life that is meant; any other answers with 421.
                'Wasabiturn-Expect-Instance': [identity.worker],
            },
        )
        producer: Any = ShortBody(encode(body))
        sent: Deferred[Any] = self._agent.request(
            b'POST',
            f'{self._base}{path}'.encode(),
            headers,
            producer,
        )
        sent.addCallback(_read_answer)
        sent.addTimeout(timeout_seconds, self._reactor)
        return sent.addErrback(_translate)


def _read_answer(response: Any) -> Deferred[bytes]:
    body: Deferred[bytes] = readBody(response)
    return body.addCallback(_check_status, response.code)


def _check_status(body: bytes, status: int) -> bytes:
    if status == OK:
        return body
    raise _error_of(body, status)


def _error_of(body: bytes, status: int) -> PlatformError:
    if status == CONFLICT:
        return OrderRefusedError(str(decode_object(body).get('reason', '')))
    if status in NOT_DONE:
        return OrderRefusedError(f'status {status}')
    if status == OTHER_INSTANCE:
        return OtherIncarnationError('the worker has another life')
    return PlatformError(f'the worker answered with status {status}')


def _translate(failure: Failure) -> Any:
    error: Any = failure.value
    if isinstance(error, PlatformError):
        return failure
    if isinstance(error, NobodyListens):
        raise WorkerNotListeningError(
            'nothing listens at the worker'
        ) from error
    raise PlatformError(f'no answer: {error!r}') from error


def _drop(body: bytes) -> None:
    """Drop an answer that says nothing."""
