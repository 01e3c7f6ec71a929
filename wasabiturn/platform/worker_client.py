"""HTTP client of an agent for its worker.

Lives of a worker share its name and address, and their clocks start anew, so
none of these tells one from the next. A connection does: it ends with the life
that accepted it. What concerns one life only is sent on a connection on which
that life has listed its runs.
"""

from typing import Any, final

import attrs
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
from wasabiturn.platform.fields import (
    MAX_EXACT,
    InvalidBodyError,
    decode_object,
    read_int,
)
from wasabiturn.platform.http_server import OK, encode
from wasabiturn.platform.listings import decode_listing
from wasabiturn.process.agent.runs.port import (
    HoldRequest,
    OrderNotSentError,
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
_HOLD_PATH = '/api/hold'
_ERRORS_OF_UNSENT_ORDERS = (
    OrderRefusedError,
    OtherIncarnationError,
    WorkerNotListeningError,
)


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
        if hold.acknowledged:
            sent = self._hold_life(identity, hold)
            if sent is not None:
                return sent
            hold = attrs.evolve(hold, acknowledged=0)
        return self._list_runs(identity, hold)

    def _hold_life(
        self, identity: WorkerIdentity, hold: HoldRequest
    ) -> Deferred[RunListing] | None:
        request = _create_request(_HOLD_PATH, identity, _encode_hold(hold))
        sent: Deferred[Any] | None = self._client.send_to_peer(
            request, _hold_seconds(hold), identity.life
        )
        if sent is None:
            return None
        return _check_response(sent).addCallback(decode_listing)

    def _list_runs(
        self, identity: WorkerIdentity, hold: HoldRequest
    ) -> Deferred[RunListing]:
        """Send a hold to whatever life is there; learn who that is."""
        request = _create_request(_HOLD_PATH, identity, _encode_hold(hold))
        sent = self._client.send(
            request,
            _hold_seconds(hold),
            read_peer=lambda response: _read_life(identity, response),
        )
        return _check_response(sent).addCallback(decode_listing)

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
        request = _create_request('/api/run-start', identity, body)
        sent = self._start_in_life(identity, request)
        if sent is not None:
            return sent
        confirmed = self._list_runs(identity, _create_confirmation(fence))
        confirmed.addErrback(_convert_unconfirmed)
        return confirmed.addCallback(self._start_confirmed, identity, request)

    def _start_confirmed(
        self,
        listing: RunListing,
        identity: WorkerIdentity,
        request: HttpRequest,
    ) -> Deferred[int]:
        sent = self._start_in_life(identity, request)
        if sent is None:
            raise OrderNotSentError(
                f'the worker that was born at {listing.born_ms} answered'
            )
        return sent

    def _start_in_life(
        self, identity: WorkerIdentity, request: HttpRequest
    ) -> Deferred[int] | None:
        sent: Deferred[Any] | None = self._client.send_to_peer(
            request, RESPONSE_TIMEOUT_SECONDS, identity.life
        )
        if sent is None:
            return None
        return _check_response(sent).addCallback(_decode_clock)

    def stop(
        self,
        identity: WorkerIdentity,
        order: StopOrder,
        fence: int,
    ) -> Deferred[None]:
        """Stop a run; see ``WorkerPort``."""
        body = {'task': order.task, 'run': order.run, 'fence': fence}
        sent = self._post('/api/run-stop', identity, body)
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
        sent = self._post('/api/pace', identity, body)
        return sent.addCallback(_ignore_body)

    def close(self) -> None:
        """Close the idle connections."""
        self._client.close()

    def _post(
        self, path: str, identity: WorkerIdentity, body: dict[str, Any]
    ) -> Deferred[bytes]:
        request = _create_request(path, identity, body)
        return _check_response(
            self._client.send(request, RESPONSE_TIMEOUT_SECONDS)
        )


def _create_confirmation(fence: int) -> HoldRequest:
    """Return a hold that changes nothing but the token."""
    return HoldRequest(fence=fence, acknowledged=0, lease_until_ms=0, wait_ms=0)


def _encode_hold(hold: HoldRequest) -> dict[str, Any]:
    body: dict[str, Any] = {
        'fence': hold.fence,
        'acked_upto': hold.acknowledged,
    }
    if hold.lease_until_ms:
        body['until_ms'] = hold.lease_until_ms
    if hold.wait_ms:
        body['wait_ms'] = hold.wait_ms
    return body


def _hold_seconds(hold: HoldRequest) -> float:
    return hold.wait_ms / _MS_PER_SECOND + RESPONSE_TIMEOUT_SECONDS


def _create_request(
    path: str, identity: WorkerIdentity, body: dict[str, Any]
) -> HttpRequest:
    return HttpRequest(
        method='POST',
        path=path,
        headers_by_name={
            'Content-Type': 'application/json',
            # Any other instance of the worker responds with 421.
            'Wasabiturn-Expect-Instance': identity.worker,
        },
        body=encode(body),
    )


def _read_life(
    identity: WorkerIdentity, response: HttpResponse
) -> tuple[str, int] | None:
    """Return the life that has listed its runs; ``None`` if none has."""
    if response.status != OK:
        return None
    try:
        return identity.worker, decode_listing(response.body).born_ms
    except InvalidBodyError:
        # The caller reads the same body, and logs the error.
        return None


def _check_response(sent: Deferred[Any]) -> Deferred[Any]:
    sent.addCallback(_check_status)
    return sent.addErrback(_convert_error)


def _convert_unconfirmed(failure: Failure) -> Any:
    """Return the failure of a confirmation as that of the order behind it."""
    error: Any = failure.value
    if isinstance(error, _ERRORS_OF_UNSENT_ORDERS):
        return failure
    raise OrderNotSentError(f'no life is confirmed: {error}') from error


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
