"""HTTP calls of an agent to a stand-in for its worker."""

import json
from typing import Any, final

import attrs
from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure

from wasabiturn.connection.http_messages import HttpRequest, HttpResponse
from wasabiturn.exceptions import PlatformError
from wasabiturn.messages.batch import PaceOrder, StartOrder, StopOrder
from wasabiturn.messages.kinds import RunEnding
from wasabiturn.process.agent.runs.port import (
    HoldRequest,
    OrderRefusedError,
    OtherIncarnationError,
    RunListing,
)
from wasabiturn.standins.batch_worker import StandInBatchWorker

OK = 200
BAD_REQUEST = 400
CONFLICT = 409
MISDIRECTED = 421
UNAVAILABLE = 503
MAX_LISTED_ENDS = 500
_EXPECTED_WORKER_HEADER = 'wasabiturn-expect-instance'


@final
@attrs.frozen
class WorkerCalls:
    """Passes HTTP calls to ``worker``, and returns what it answers."""

    worker: StandInBatchWorker

    def handle(self, request: HttpRequest) -> Deferred[HttpResponse]:
        """Handle one call; the Deferred does not fail."""
        expected = request.headers_by_name.get(_EXPECTED_WORKER_HEADER, '')
        if expected not in {'', self.worker.identity.worker}:
            return succeed(HttpResponse(MISDIRECTED, b'{}'))
        handled = self._pass_on(request.path, json.loads(request.body))
        handled.addCallbacks(self._answer, self._refuse)
        return handled

    def _pass_on(self, path: str, body: dict[str, Any]) -> Deferred[Any]:
        worker = self.worker
        identity = worker.identity
        fence = body.get('fence', 0)
        if path == '/api/hold':
            return worker.hold(identity, _decode_hold(body))
        task = {'task': body['task'], 'run': body['run']}
        if path == '/api/run-start':
            start = StartOrder(payload=body['spec'], **task)
            return worker.start(identity, start, fence, body['until_ms'])
        if path == '/api/run-stop':
            return worker.stop(identity, StopOrder(**task), fence)
        pace = PaceOrder(percent=body['percent'], **task)
        return worker.pace(identity, pace, fence)

    def _answer(self, listing: RunListing | int | None) -> HttpResponse:
        fields: dict[str, Any] = {'clock_ms': self.worker.clock_ms()}
        if isinstance(listing, RunListing):
            fields |= _encode_listing(listing)
        return HttpResponse(OK, json.dumps(fields).encode())

    def _refuse(self, failure: Failure) -> HttpResponse:
        failure.trap(PlatformError)
        error: Any = failure.value
        if isinstance(error, OtherIncarnationError):
            return HttpResponse(MISDIRECTED, b'{}')
        if not isinstance(error, OrderRefusedError):
            return HttpResponse(UNAVAILABLE, b'{}')
        fields = {'clock_ms': self.worker.clock_ms(), 'reason': error.reason}
        return HttpResponse(CONFLICT, json.dumps(fields).encode())


def _decode_hold(body: dict[str, Any]) -> HoldRequest:
    return HoldRequest(
        fence=body.get('fence', 0),
        acknowledged=body.get('acked_upto', 0),
        lease_until_ms=body.get('until_ms', 0),
        wait_ms=body.get('wait_ms', 0),
    )


def _encode_listing(listing: RunListing) -> dict[str, Any]:
    return {
        'born': listing.born_ms,
        'clock_ms': listing.clock_ms,
        'running': [
            [row.task, row.run, row.checkpoint, row.percent]
            for row in listing.running
        ],
        'ended': [
            [row.number, row.task, row.run, _name(row.ending), row.checkpoint]
            for row in listing.ended[:MAX_LISTED_ENDS]
        ],
    }


def _name(ending: RunEnding) -> str:
    return ending.name
