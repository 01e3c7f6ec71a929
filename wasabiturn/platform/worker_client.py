"""HTTP client of an agent for its worker."""

from typing import Any, final

from twisted.internet.defer import Deferred
from twisted.internet.error import (
    ConnectionRefusedError as TwistedConnectionRefusedError,
)
from twisted.python.failure import Failure

from wasabiturn.connection.endpoint import Endpoint
from wasabiturn.connection.http_client import HttpClient
from wasabiturn.connection.http_messages import HttpRequest, HttpResponse
from wasabiturn.exceptions import PlatformError
from wasabiturn.messages.batch import PaceOrder, StartOrder, StopOrder
from wasabiturn.platform.fields import MAX_EXACT, decode_object, read_int
from wasabiturn.platform.http_server import OK, encode
from wasabiturn.platform.listings import decode_listing
from wasabiturn.process.agent.runs.port import (
    HoldRequest,
    OrderRefusedError,
    OtherIncarnationError,
    RunListing,
    WorkerIdentity,
    WorkerNotListeningError,
)

CONNECT_TIMEOUT_SECONDS = 0.5
# In addition to the time for which the worker is asked to hold the call.
RESPONSE_TIMEOUT_SECONDS = 0.6
CONFLICT = 409
MISDIRECTED_REQUEST = 421
# Statuses that say that the worker did not execute the order.
NOT_EXECUTED_STATUSES = frozenset((400, 429, 503))
_MS_PER_SECOND = 1000


@final
class HttpWorker:
    """Calls the worker at one address over kept connections."""

    def __init__(self, endpoint: Endpoint, reactor: Any) -> None:
        """Create the client; it connects on the first call."""
        self._client = HttpClient(endpoint, reactor, CONNECT_TIMEOUT_SECONDS)

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
        seconds = hold.wait_ms / _MS_PER_SECOND + RESPONSE_TIMEOUT_SECONDS
        sent = self._post('/api/hold', identity, body, seconds)
        return sent.addCallback(decode_listing)

    def start(
        self,
        identity: WorkerIdentity,
        order: StartOrder,
        fence: int,
        lease_until_ms: int,
    ) -> Deferred[int]:
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
        sent = self._post(
            '/api/run-start', identity, body, RESPONSE_TIMEOUT_SECONDS
        )
        return sent.addCallback(_decode_clock)

    def stop(
        self,
        identity: WorkerIdentity,
        order: StopOrder,
        fence: int,
    ) -> Deferred[None]:
        """Stop a run; see ``WorkerPort``."""
        body = {'task': order.task, 'run': order.run, 'fence': fence}
        sent = self._post(
            '/api/run-stop', identity, body, RESPONSE_TIMEOUT_SECONDS
        )
        return sent.addCallback(_ignore_body)

    def pace(
        self,
        identity: WorkerIdentity,
        order: PaceOrder,
        fence: int,
    ) -> Deferred[None]:
        """Limit a run to a percentage of its speed; see ``WorkerPort``."""
        body = {
            'task': order.task,
            'run': order.run,
            'percent': order.percent,
            'fence': fence,
        }
        sent = self._post('/api/pace', identity, body, RESPONSE_TIMEOUT_SECONDS)
        return sent.addCallback(_ignore_body)

    def close(self) -> None:
        """Close the idle connections."""
        self._client.close()

    def _post(
        self,
        path: str,
        identity: WorkerIdentity,
        body: dict[str, Any],
        timeout_seconds: float,
    ) -> Deferred[bytes]:
        request = HttpRequest(
            method='POST',
            path=path,
            headers_by_name={
                'Content-Type': 'application/json',
                # Any other instance of the worker responds with 421.
                'Wasabiturn-Expect-Instance': identity.worker,
            },
            body=encode(body),
        )
        sent: Deferred[Any] = self._client.send(request, timeout_seconds)
        sent.addCallback(_check_status)
        return sent.addErrback(_convert_error)


def _check_status(response: HttpResponse) -> bytes:
    if response.status == OK:
        return response.body
    raise _create_error(response.body, response.status)


def _create_error(body: bytes, status: int) -> PlatformError:
    if status == CONFLICT:
        return OrderRefusedError(str(decode_object(body).get('reason', '')))
    if status in NOT_EXECUTED_STATUSES:
        return OrderRefusedError(f'status {status}')
    if status == MISDIRECTED_REQUEST:
        return OtherIncarnationError(
            'another incarnation of the worker responded'
        )
    return PlatformError(f'the worker responded with status {status}')


def _convert_error(failure: Failure) -> Any:
    error: Any = failure.value
    if isinstance(error, PlatformError):
        return failure
    if isinstance(error, TwistedConnectionRefusedError):
        raise WorkerNotListeningError(
            'connection refused: nothing listens at the worker address'
        ) from error
    raise PlatformError(f'no response from the worker: {error!r}') from error


def _decode_clock(body: bytes) -> int:
    return read_int(decode_object(body), 'clock_ms', MAX_EXACT)


def _ignore_body(body: bytes) -> None:
    """Discard a response body that carries no information."""
