"""Forwarding of a request from its stream to the backend server and back."""

import enum
from typing import Any, Protocol, cast, final

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol as BodyReceiver
from twisted.python.failure import Failure
from twisted.web.client import Response, ResponseDone

from wasabiturn.connection.backend import (
    BackendConnection,
    BackendPool,
    BackendRefusedError,
)
from wasabiturn.connection.streams import Stream
from wasabiturn.ids import Ticket
from wasabiturn.messages.kinds import CrashSuspicion
from wasabiturn.messages.session import LoadReport, RequestHead
from wasabiturn.request.backend_messages import (
    InvalidRequestError,
    build_request,
    build_response_head,
)
from wasabiturn.request.claims import LATE_ANSWER_SECONDS
from wasabiturn.request.reply import ReplyWriter
from wasabiturn.request.silence import AwaitedAnswer
from wasabiturn.request.upload import RequestBody

# A body smaller than this is received completely before the request asks for
# a slot.
GATHER_LIMIT_BYTES = 65536
# How long a request that was abandoned may keep its slot.
DETACHED_LIMIT_SECONDS = 10.0
MS_PER_SECOND = 1000

# Past its deadline, an answer is aborted if no bytes arrive for this long.
ANSWER_IDLE_SECONDS = 5.0


@final
class Phase(enum.Enum):
    """Phases between the receipt of a request and the end of its answer."""

    gathering = 'gathering'
    queued = 'queued'
    connecting = 'connecting'
    sent = 'sent'
    answering = 'answering'
    detached = 'detached'
    over = 'over'


# Phases in which the backend server may be working on a request.
IN_FLIGHT_PHASES = frozenset((Phase.sent, Phase.answering, Phase.detached))


class BackendSlots(Protocol):
    """Interface of the backend server that a request runs on."""

    pool: BackendPool

    def request_slot(self, request: 'ServedRequest') -> None:
        """Request a slot."""

    def release_slot(self, request: 'ServedRequest', ran: bool) -> None:
        """Release the slot, or leave the queue.

        ``ran`` is false only if the request certainly did not run.
        """

    def mark_unreachable(self) -> None:
        """Stop using the backend server until it announces itself again."""

    def diagnose_loss(
        self, request: 'ServedRequest'
    ) -> Deferred[CrashSuspicion]:
        """Find out whether the backend server crashed under ``request``."""

    def observe_answer(self, seconds: float) -> None:
        """Record the time from sending a request to the response head."""

    def load_report(self) -> LoadReport:
        """Return the current load."""


@final
@attrs.define(eq=False)
class ServedRequest:
    """State machine of one request, from its receipt to the end of its answer.

    ``Verdict.not_run`` is sent only if no byte was sent to the backend.
    A non-idempotent request that was abandoned runs to its end and keeps its
    slot, because closing the connection would not undo it.
    """

    ticket: Ticket
    head: RequestHead
    stream: Stream
    slots: BackendSlots
    clock: Any
    deadline: float
    body: RequestBody
    reply: ReplyWriter
    phase: Phase = Phase.gathering
    last_activity: float = 0.0
    sent_at: float = 0.0
    is_paused: bool = False
    connection: BackendConnection | None = None
    download: Any = None

    def data_received(self, chunk: bytes) -> None:
        """Receive part of the request body."""
        if self.phase is Phase.over:
            self.stream.consumed(len(chunk))
            return
        self.last_activity = self.clock.seconds()
        self.body.feed(chunk)
        if (
            self.phase is Phase.gathering
            and self.body.size >= GATHER_LIMIT_BYTES
        ):
            self._request_slot()

    def end_received(self) -> None:
        """Handle the end of the request body."""
        self.body.finish()
        if self.phase is Phase.gathering:
            self._request_slot()

    def reset_received(self, reason: str) -> None:
        """Abandon the request: the caller or the entry's link is lost."""
        self.abandon()

    def writable(self) -> None:
        """Resume reading from the backend server."""
        self.is_paused = False
        self.last_activity = self.clock.seconds()
        if self.download is not None:
            self.download.resumeProducing()

    def refuse(self, reason: str, retry_after_seconds: float = 0.0) -> None:
        """Answer that the request has not run and will not run."""
        self.reply.refuse(
            reason,
            retry_after_seconds,
            self.slots.load_report(),
        )
        self._finish(ran=False)

    def start(self) -> None:
        """Connect to the backend server, once a slot has been assigned."""
        self.phase = Phase.connecting
        acquired = self.slots.pool.acquire(fresh=not self.head.idempotent)
        acquired.addCallbacks(self._connected, self._connect_failed)
        acquired.addErrback(self._failed)

    def expire(self) -> None:
        """Handle the expiry of the deadline."""
        if self.phase is Phase.detached:
            self.abort('abandoned for too long')
        elif self.phase in {Phase.sent, Phase.answering}:
            self.reply.fail('deadline has passed', self.slots.load_report())
            self._detach()
        else:
            self.refuse('deadline has passed')

    def abandon(self) -> None:
        """Stop because nobody waits for the answer any more."""
        if self.phase in {Phase.sent, Phase.answering}:
            self._detach()
        elif self.phase is not Phase.detached:
            self._finish(ran=False)

    def abort(
        self, reason: str, crash: CrashSuspicion = CrashSuspicion.none
    ) -> None:
        """Fail the reply and close the connection to the backend server."""
        self.reply.fail(reason, self.slots.load_report(), crash)
        if self.connection is not None:
            self.connection.drop()
        self._finish(ran=True)

    def _request_slot(self) -> None:
        self.phase = Phase.queued
        self.slots.request_slot(self)

    def _connected(self, connection: BackendConnection) -> None:
        if self.phase is not Phase.connecting:
            self.slots.pool.release(connection)
            return
        if connection not in self.slots.pool.open:
            self.refuse('connection to the backend was lost')
            return
        try:
            request = build_request(
                self.head,
                self.body.prepare(self.head),
                str(self.slots.pool.endpoint),
            )
        except InvalidRequestError as error:
            self.slots.pool.release(connection)
            self.refuse(str(error))
            return
        self.phase = Phase.sent
        self.sent_at = self.clock.seconds()
        self.last_activity = self.sent_at
        self.connection = connection
        answered = connection.request(request)
        answered.addCallbacks(self._response_received, self._failed)
        answered.addErrback(self._failed)

    def _connect_failed(self, failure: Failure) -> None:
        if failure.check(BackendRefusedError):
            self.slots.mark_unreachable()
        if self.phase is Phase.connecting:
            self.refuse(failure.getErrorMessage())

    def _response_received(self, response: Response) -> None:
        now = self.clock.seconds()
        self.last_activity = now
        self.slots.observe_answer(now - self.sent_at)
        if self.phase is Phase.sent:
            self._send_head(response)
        response.deliverBody(_Download(self))

    def _send_head(self, response: Response) -> None:
        head = build_response_head(response, self.slots.load_report())
        if self.reply.start(head):
            self.phase = Phase.answering
        else:
            self.reply.fail(
                'headers of the answer are too large', self.slots.load_report()
            )
            self._detach()

    def _failed(self, failure: Failure) -> None:
        """Abort a request that the backend server will not answer."""
        reason = f'connection to the backend failed: {failure.value!r}'
        if self.phase is Phase.sent:
            diagnosed = self.slots.diagnose_loss(self)
            diagnosed.addCallback(self._lose, reason)
        elif self.phase in {Phase.answering, Phase.detached}:
            self.abort(reason)

    def _lose(self, crash: CrashSuspicion, reason: str) -> None:
        """Abort the request, unless it has ended during the diagnosis."""
        if self.phase in {Phase.sent, Phase.detached}:
            self.abort(reason, crash)

    def download_received(self, chunk: bytes) -> None:
        """Forward part of the answer."""
        self.last_activity = self.clock.seconds()
        if self.phase is Phase.answering and not self.reply.write(chunk):
            self.is_paused = True
            self.download.pauseProducing()

    def download_ended(self, reason: Failure) -> None:
        """End the reply if the answer is complete, else fail it."""
        self.download = None
        if self.phase is Phase.over:
            return
        if not reason.check(ResponseDone):
            self.abort('answer of the backend broke off')
            return
        if self.phase is Phase.answering:
            self.reply.end()
        self._finish(ran=True)

    def _detach(self) -> None:
        """Let a complete non-idempotent request run on; abort others."""
        if self.head.idempotent or not self.body.is_complete:
            self.abort('abandoned')
            return
        self.phase = Phase.detached
        self.deadline = self.clock.seconds() + DETACHED_LIMIT_SECONDS
        if self.download is not None:
            self.download.resumeProducing()

    def _finish(self, ran: bool) -> None:
        if self.phase is not Phase.over:
            self.phase = Phase.over
            self.slots.release_slot(self, ran)


def create_served_request(
    ticket: Ticket,
    head: RequestHead,
    stream: Stream,
    slots: BackendSlots,
    clock: Any,
) -> ServedRequest:
    """Create a request; its timeout starts now."""
    return ServedRequest(
        ticket=ticket,
        head=head,
        stream=stream,
        slots=slots,
        clock=clock,
        deadline=clock.seconds() + head.timeout_ms / MS_PER_SECOND,
        body=RequestBody(stream.consumed),
        reply=ReplyWriter(stream),
    )


def is_overdue(request: ServedRequest, now: float) -> bool:
    """Return whether a request has exceeded its time at ``now``.

    The deadline applies to the response head. The body may take longer while
    bytes arrive, or while the caller is slow to read them. The answer to a
    claimed request that was sent is awaited for ``LATE_ANSWER_SECONDS``
    longer, so that a resent request finds it recorded.
    """
    awaits_record = request.phase is Phase.sent and request.head.claim_id
    late_seconds = LATE_ANSWER_SECONDS if awaits_record else 0
    if now < request.deadline + late_seconds:
        return False
    if request.phase is not Phase.answering:
        return True
    idle_seconds = now - request.last_activity
    return not request.is_paused and idle_seconds > ANSWER_IDLE_SECONDS


def describe_awaited_answer(request: ServedRequest) -> AwaitedAnswer | None:
    """Return the state of a request that awaits bytes from the backend.

    ``None`` if it does not, or if reading is paused.
    """
    is_awaited = request.phase in {Phase.sent, Phase.answering}
    if request.is_paused or not is_awaited:
        return None
    return AwaitedAnswer(
        idempotent=request.head.idempotent,
        attempt=request.head.attempt,
        sent_at=request.sent_at,
        last_activity=request.last_activity,
    )


@final
class _Download(BodyReceiver):
    """Receives the response body from the backend server."""

    def __init__(self, request: ServedRequest) -> None:
        self._request = request

    def connectionMade(self) -> None:
        """Store the transport, which can pause and resume the download."""
        self._request.download = self.transport

    def dataReceived(self, data: bytes) -> None:
        """Forward a chunk to the request."""
        self._request.download_received(data)

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Notify the request of the end of the body."""
        self._request.download_ended(cast(Failure, reason))
