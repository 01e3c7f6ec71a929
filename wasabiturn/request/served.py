"""One request at the agent, from its stream to the backend server and back."""

import enum
from typing import Any, Protocol, cast, final

import attrs
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
from wasabiturn.messages.session import LoadReport, RequestHead
from wasabiturn.request.backend_messages import (
    RequestFormError,
    build_request,
    build_response_head,
)
from wasabiturn.request.claims import LATE_ANSWER_SECONDS
from wasabiturn.request.reply import Reply
from wasabiturn.request.silence import Quiet
from wasabiturn.request.upload import RequestBody

# A body up to this size arrives whole before the request asks for a slot.
GATHER_BYTES = 65536
# How long a request that nobody waits for any more may hold its slot.
DETACHED_LIMIT_SECONDS = 10.0
MILLISECONDS = 1000

# Past its deadline, an answer whose bytes stop for so long is given up.
ANSWER_IDLE_SECONDS = 5.0


@final
class Phase(enum.Enum):
    """Steps between the receipt of a request and the end of its answer."""

    gathering = 'gathering'
    queued = 'queued'
    connecting = 'connecting'
    sent = 'sent'
    answering = 'answering'
    detached = 'detached'
    over = 'over'


class Slots(Protocol):
    """What a request needs of the backend server that it runs on."""

    pool: BackendPool

    def request_slot(self, request: 'ServedRequest') -> None:
        """Ask for a slot."""

    def release_slot(self, request: 'ServedRequest', ran: bool) -> None:
        """Give back the slot, or the place in the queue."""

    def mark_unreachable(self) -> None:
        """Give the backend server no work until it announces itself."""

    def observe_answer(self, seconds: float) -> None:
        """Record the time from sending a request to its answer's head."""

    def load_report(self) -> LoadReport:
        """Return the present load."""


@final
@attrs.define(eq=False)
class ServedRequest:
    """Moves one request through its phases.

    ``Verdict.not_run`` is sent only before a byte went to the backend.
    A non-idempotent request that is no longer wanted is left to run to its
    end with its slot held: a closed connection would not undo it.
    """

    ticket: Ticket
    head: RequestHead
    stream: Stream
    slots: Slots
    clock: Any
    deadline: float
    body: RequestBody
    reply: Reply
    phase: Phase = Phase.gathering
    last_activity: float = 0.0
    sent_at: float = 0.0
    is_paused: bool = False
    connection: BackendConnection | None = None
    download: Any = None

    def data_received(self, chunk: bytes) -> None:
        """Take bytes of the request's body."""
        if self.phase is Phase.over:
            self.stream.consumed(len(chunk))
            return
        self.last_activity = self.clock.seconds()
        self.body.feed(chunk)
        if self.phase is Phase.gathering and self.body.size >= GATHER_BYTES:
            self._ask()

    def end_received(self) -> None:
        """Learn that the request's body is whole."""
        self.body.finish()
        if self.phase is Phase.gathering:
            self._ask()

    def reset_received(self, reason: str) -> None:
        """Give up: the caller, or the entry's link, is gone."""
        self.abandon()

    def writable(self) -> None:
        """Read on from the backend server."""
        self.is_paused = False
        self.last_activity = self.clock.seconds()
        if self.download is not None:
            self.download.resumeProducing()

    def refuse(self, reason: str, retry_after_seconds: float = 0.0) -> None:
        """Answer that the request has not run and will not."""
        self.reply.refuse(
            reason,
            retry_after_seconds,
            self.slots.load_report(),
        )
        self._leave(ran=False)

    def start(self) -> None:
        """Use the slot that was given: send the request."""
        self.phase = Phase.connecting
        acquired = self.slots.pool.acquire(fresh=not self.head.idempotent)
        acquired.addCallbacks(self._connected, self._connect_failed)
        acquired.addErrback(self._failed)

    def expire(self) -> None:
        """Stop waiting because the deadline has passed."""
        if self.phase is Phase.detached:
            self.abort('abandoned for too long')
        elif self.phase in {Phase.sent, Phase.answering}:
            self._break_off('deadline has passed')
            self._detach()
        else:
            self.refuse('deadline has passed')

    def abandon(self) -> None:
        """Stop because nobody waits for the answer."""
        if self.phase in {Phase.sent, Phase.answering}:
            self._detach()
        elif self.phase is not Phase.detached:
            self._leave(ran=False)

    def abort(self, reason: str) -> None:
        """Close the connection to the backend server."""
        self._break_off(reason)
        if self.connection is not None:
            self.connection.drop()
        self._leave(ran=True)

    def _ask(self) -> None:
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
        except RequestFormError as error:
            self.slots.pool.release(connection)
            self.refuse(str(error))
            return
        self.phase = Phase.sent
        self.sent_at = self.clock.seconds()
        self.last_activity = self.sent_at
        self.connection = connection
        answered = connection.request(request)
        answered.addCallbacks(self._answered, self._failed)
        answered.addErrback(self._failed)

    def _connect_failed(self, failure: Failure) -> None:
        if failure.check(BackendRefusedError):
            self.slots.mark_unreachable()
        if self.phase is Phase.connecting:
            self.refuse(failure.getErrorMessage())

    def _answered(self, response: Response) -> None:
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
            self._break_off('headers of the answer are too large')
            self._detach()

    def _failed(self, failure: Failure) -> None:
        """Settle a request whose answer will not come."""
        if self.phase in {Phase.sent, Phase.answering, Phase.detached}:
            self.abort(f'connection to the backend failed: {failure.value!r}')

    def download_received(self, chunk: bytes) -> None:
        """Pass on bytes of the answer."""
        self.last_activity = self.clock.seconds()
        if self.phase is Phase.answering and not self.reply.write(chunk):
            self.is_paused = True
            self.download.pauseProducing()

    def download_ended(self, reason: Failure) -> None:
        """Pass on the end of the answer if it is whole."""
        self.download = None
        if self.phase is Phase.over:
            return
        if not reason.check(ResponseDone):
            self.abort('answer of the backend broke off')
            return
        if self.phase is Phase.answering:
            self.reply.end()
        self._leave(ran=True)

    def _detach(self) -> None:
        if self.head.idempotent or not self.body.is_complete:
            self.abort('abandoned')
            return
        self.phase = Phase.detached
        self.deadline = self.clock.seconds() + DETACHED_LIMIT_SECONDS
        if self.download is not None:
            self.download.resumeProducing()

    def _break_off(self, reason: str) -> None:
        """Tell the entry that no whole answer will come."""
        self.reply.break_off(reason, self.slots.load_report())

    def _leave(self, ran: bool) -> None:
        if self.phase is not Phase.over:
            self.phase = Phase.over
            self.slots.release_slot(self, ran)


def create_served_request(
    ticket: Ticket,
    head: RequestHead,
    stream: Stream,
    slots: Slots,
    clock: Any,
) -> ServedRequest:
    """Create a request whose deadline counts from its receipt."""
    return ServedRequest(
        ticket=ticket,
        head=head,
        stream=stream,
        slots=slots,
        clock=clock,
        deadline=clock.seconds() + head.timeout_ms / MILLISECONDS,
        body=RequestBody(stream.consumed),
        reply=Reply(stream),
    )


def is_overdue(request: ServedRequest, now: float) -> bool:
    """Return whether a request shall be given up at ``now``.

    The deadline is that of the answer's head; its body may take longer while
    bytes flow, or while the caller is slow to take them. The answer of a
    claimed request that was sent is awaited longer, for its resends.
    """
    awaits_record = request.phase is Phase.sent and request.head.claim_id
    late_seconds = LATE_ANSWER_SECONDS if awaits_record else 0
    if now < request.deadline + late_seconds:
        return False
    if request.phase is not Phase.answering:
        return True
    idle_seconds = now - request.last_activity
    return not request.is_paused and idle_seconds > ANSWER_IDLE_SECONDS


def describe_awaited_answer(request: ServedRequest) -> Quiet | None:
    """Return what is known of a backend connection that is awaited."""
    is_awaited = request.phase in {Phase.sent, Phase.answering}
    if request.is_paused or not is_awaited:
        return None
    return Quiet(
        idempotent=request.head.idempotent,
        attempt=request.head.attempt,
        sent_at=request.sent_at,
        last_activity=request.last_activity,
    )


@final
class _Download(BodyReceiver):
    """Receiver of the backend's answer."""

    def __init__(self, request: ServedRequest) -> None:
        self._request = request

    def connectionMade(self) -> None:
        """Keep the transport, which pauses and resumes the answer."""
        self._request.download = self.transport

    def dataReceived(self, data: bytes) -> None:
        """Pass on bytes."""
        self._request.download_received(data)

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Pass on the end."""
        self._request.download_ended(cast(Failure, reason))
