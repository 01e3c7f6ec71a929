"""Recording of answers to claimed requests before callers get them."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, final

from wasabiturn.messages.kinds import ClaimState
from wasabiturn.messages.state import ClaimRequest, Header, RecordAnswer
from wasabiturn.process.entry.claim_calls import ClaimCalls
from wasabiturn.process.entry.discard_sink import DiscardSink
from wasabiturn.process.entry.interfaces import AnswerSink
from wasabiturn.process.entry.router import Router
from wasabiturn.process.entry.timers import Timers
from wasabiturn.request.refusal import Refusal, refuse_unknown
from wasabiturn.utils.logs import create_component_log

MAX_RECORDED_BYTES = 32_768
# After this time the caller gets the answer even if it is not recorded yet.
MAX_RECORD_WAIT_SECONDS = 2.0

_log = create_component_log('entry')


@final
class AnswerRecorder:
    """Buffers an answer until it is recorded, then delivers it.

    Of an answer over ``MAX_RECORDED_BYTES`` only the head is recorded; its
    body is streamed once that is done.
    """

    def __init__(
        self,
        claim: ClaimRequest,
        caller: AnswerSink,
        calls: ClaimCalls,
        router: Router,
    ) -> None:
        """Create a recorder for the answer to the request of ``claim``."""
        self.on_refused: Callable[[Refusal], None] = caller.refuse
        self.on_resumed: Callable[[], None] = _do_nothing
        self.on_answered: Callable[[], None] = _do_nothing
        self._claim = claim
        self._caller = caller
        self._calls = calls
        self._status = 0
        self._headers: list[Header] = []
        self._chunks: list[bytes] = []
        self._length = 0
        self._is_complete = False
        self._recording = False
        self._delivering = False
        self._timers = Timers(router.reactor)

    def detach(self) -> None:
        """Still record the answer, but do not deliver it."""
        self._caller = DiscardSink()

    def send_head(self, status: int, headers: list[Header]) -> None:
        """Buffer the status and headers."""
        self.on_answered()
        self._status = status
        self._headers = headers

    def send_body(self, chunk: bytes) -> bool:
        """Buffer bytes of the body; forward them once delivery has started."""
        if self._delivering:
            return self._caller.send_body(chunk)
        self._chunks.append(chunk)
        self._length += len(chunk)
        if self._length > MAX_RECORDED_BYTES and not self._recording:
            self._record(b'', omitted=True)
        return not self._recording

    def finish_answer(self) -> None:
        """Record the complete answer, unless its head was recorded."""
        self._is_complete = True
        if self._delivering:
            self._caller.finish_answer()
        elif not self._recording:
            self._record(b''.join(self._chunks), omitted=False)

    def refuse(self, refusal: Refusal) -> None:
        """Report that the attempt ended without an answer."""
        self.on_refused(refusal)

    def abort(self) -> None:
        """Refuse with an unknown outcome, or abort a delivery in progress."""
        self._timers.cancel()
        if self._delivering:
            self._caller.abort()
            return
        self._delivering = True
        self.on_refused(
            refuse_unknown(HTTPStatus.BAD_GATEWAY, 'the answer broke off'),
        )

    def pause_body(self) -> None:
        """Do nothing: the request's body is fully buffered."""

    def resume_body(self) -> None:
        """Do nothing: the request's body is fully buffered."""

    def _record(self, body: bytes, *, omitted: bool) -> None:
        self._recording = True
        answer = RecordAnswer(
            service_name=self._claim.service_name,
            key=self._claim.key,
            claim_id=self._claim.claim_id,
            outcome=ClaimState.answered,
            status=self._status,
            headers=self._headers,
            body=body,
            body_omitted=omitted,
        )
        self._timers.start(MAX_RECORD_WAIT_SECONDS, self._deliver)
        recorded = self._calls.record(answer)
        recorded.addErrback(self._log_failure)
        recorded.addCallback(lambda _: self._deliver())

    def _deliver(self) -> None:
        self._timers.cancel()
        if self._delivering:
            return
        self._delivering = True
        self._caller.send_head(self._status, self._headers)
        accepted = self._caller.send_body(b''.join(self._chunks))
        self._chunks.clear()
        if self._is_complete:
            self._caller.finish_answer()
        elif accepted:
            self.on_resumed()

    def _log_failure(self, failure: Any) -> None:
        _log.warning(
            'recording an answer failed; a resend may get an unknown outcome',
            claim=self._claim.claim_id,
            error=str(failure.value),
        )


def _do_nothing() -> None:
    """Do nothing: default of the callbacks."""
