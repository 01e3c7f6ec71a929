"""Life of a keyed non-idempotent request: claim, attempt, recorded answer."""

from functools import singledispatchmethod
from http import HTTPStatus
from typing import Any, final

from wasabiturn.connection.calls import CallError
from wasabiturn.ids import InstanceName
from wasabiturn.messages.kinds import ClaimState, FailureCode
from wasabiturn.messages.state import ClaimRecord, ClaimRequest
from wasabiturn.process.entry.attempts import ClaimIdentity
from wasabiturn.process.entry.claim_calls import ClaimCalls
from wasabiturn.process.entry.claim_resolver import ClaimInquiry
from wasabiturn.process.entry.exchange import Exchange
from wasabiturn.process.entry.interfaces import CallerSide
from wasabiturn.process.entry.recorder import AnswerRecorder
from wasabiturn.process.entry.router import Router
from wasabiturn.process.entry.timers import Timers
from wasabiturn.request.buffered_body import BufferedBody
from wasabiturn.request.claims import (
    ClaimAnew,
    ClaimStep,
    RefuseRequest,
    ReplayAnswer,
    SendRequest,
    compute_fingerprint,
    decide_on_record,
)
from wasabiturn.request.inbound import InboundRequest
from wasabiturn.request.refusal import (
    Refusal,
    RefusalOutcome,
    refuse_not_run,
    refuse_unknown,
)
from wasabiturn.request.retry import UnansweredRequest, may_retry
from wasabiturn.request.routing import Candidate
from wasabiturn.utils.logs import create_part_log

MAX_KEYED_BODY_BYTES = 1_048_576

_log = create_part_log('entry')


@final
class KeyedRequest:
    """One keyed request: claims the key, then sends, waits or replays.

    Once it is finished, nothing is sent to an agent any more.
    """

    def __init__(
        self,
        request: InboundRequest,
        caller: CallerSide,
        router: Router,
        calls: ClaimCalls,
    ) -> None:
        """Create a keyed request; its body is collected first."""
        self._request = request
        self._caller = caller
        self._router = router
        self._calls = calls
        self._body = BufferedBody(
            max_bytes=MAX_KEYED_BODY_BYTES,
            max_buffered_bytes=MAX_KEYED_BODY_BYTES,
        )
        self._claim = ClaimRequest(
            service_name=request.service_name,
            key=request.idempotency.key or '',
        )
        self._candidate: Candidate | None = None
        self._attempt: Exchange | None = None
        self._recorder: AnswerRecorder | None = None
        self._tried: set[InstanceName] = set()
        self._finished = False
        self._timers = Timers(router.reactor)
        self._inquiry = ClaimInquiry(
            self._claim,
            router,
            calls,
            on_record=self._take_record,
            on_step=self._carry_out,
            on_failure=lambda error: self._refuse(_create_refusal(error)),
        )
        self._timers.start(request.deadline - router.now(), self._expire)

    def body_received(self, chunk: bytes) -> None:
        """Collect the body."""
        self._body.add(chunk)
        if self._body.is_over_limit():
            self._refuse(
                refuse_not_run(
                    HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                    'the body is over the limit of keyed requests',
                ),
            )

    def body_ended(self) -> None:
        """Claim the key."""
        self._body.complete = True
        self._claim_key()

    def caller_lost(self) -> None:
        """Send nothing more; an attempt under way is still recorded."""
        self._finish()
        self.resume_answer()

    def resume_answer(self) -> None:
        """Let the agent send on."""
        if self._attempt is not None:
            self._attempt.resume_answer()

    def _claim_key(self) -> None:
        choice = self._router.choose(self._request, self._tried)
        link = choice and self._router.find_link(choice.candidate, '')
        if choice is None or link is None:
            self._inquiry.look_up()
            return
        chosen = choice.candidate
        self._candidate = chosen
        self._tried.add(chosen.name)
        self._claim = self._calls.create_claim(
            ClaimRequest(
                service_name=self._claim.service_name,
                key=self._claim.key,
                agent=chosen.name,
                agent_incarnation=link.peer.incarnation,
                fingerprint=compute_fingerprint(
                    self._request.method,
                    self._request.path,
                    b''.join(self._body.chunks),
                ),
            ),
        )
        claimed = self._calls.claim(self._claim)
        claimed.addCallbacks(self._take_record, self._claim_failed)

    def _claim_failed(self, failure: Any) -> None:
        failure.trap(CallError)
        if not self._finished:
            self._refuse(_create_refusal(failure.value))

    def _take_record(self, record: ClaimRecord | None) -> None:
        if self._finished:
            self._disclaim(record)
            return
        if record is None:
            self._carry_out(ClaimAnew())
            return
        waited_seconds = self._inquiry.waited_seconds()
        step = decide_on_record(record, self._claim.claim_id, waited_seconds)
        _log.decision(
            'claim read',
            request=self._request.request_id,
            claim=record.claim.claim_id,
            state=record.state.name,
            waited=waited_seconds,
            chosen=type(step).__name__,
        )
        self._carry_out(step)

    def _disclaim(self, record: ClaimRecord | None) -> None:
        """Free a claim that was committed after the request had finished."""
        if record is None or self._attempt is not None:
            return
        if record.claim.claim_id == self._claim.claim_id:
            self._inquiry.settle(self._claim, ClaimState.not_run)

    @singledispatchmethod
    def _carry_out(self, step: ClaimStep) -> None:
        self._inquiry.carry_out(step)

    @_carry_out.register
    def _(self, step: SendRequest) -> None:
        if self._attempt is not None or self._candidate is None:
            return
        recorder = AnswerRecorder(
            self._claim,
            self._caller,
            self._calls,
            self._router,
        )
        recorder.on_refused = self._take_refusal
        recorder.on_resumed = self.resume_answer
        recorder.on_answered = self._timers.cancel
        self._recorder = recorder
        self._attempt = Exchange(
            self._request,
            recorder,
            self._router,
            self._body,
        )
        assert self._candidate is not None
        self._attempt.start_claimed(
            self._candidate,
            ClaimIdentity(
                claim_id=self._claim.claim_id,
                key=self._claim.key,
                agent_incarnation=self._claim.agent_incarnation,
            ),
        )

    @_carry_out.register
    def _(self, step: ClaimAnew) -> None:
        if self._router.has_candidate(self._request.service_name):
            self._claim_key()
        else:
            self._refuse(
                refuse_not_run(
                    HTTPStatus.SERVICE_UNAVAILABLE,
                    'no backend server is reachable',
                    0,
                ),
            )

    @_carry_out.register
    def _(self, step: ReplayAnswer) -> None:
        self._finish()
        self._caller.send_head(step.record.status, step.record.headers)
        self._caller.send_body(step.record.body)
        self._caller.finish_answer()

    @_carry_out.register
    def _(self, step: RefuseRequest) -> None:
        self._refuse(step.refusal)

    def _take_refusal(self, refusal: Refusal) -> None:
        """Claim anew for another agent, or pass the refusal on."""
        if refusal.outcome is RefusalOutcome.unknown:
            self._refuse(refusal)
            return
        self._attempt = None
        now = self._router.now()
        unanswered = UnansweredRequest(
            idempotent=False,
            certainly_not_run=True,
            repeatable=not self._finished,
            attempts=len(self._tried),
            deadline=self._request.deadline,
        )
        budget = self._router.find_budget(self._request.service_name)
        if not may_retry(unanswered, budget, now):
            self._refuse(refusal)
        self._inquiry.settle(self._claim, ClaimState.not_run)

    def _expire(self) -> None:
        status = HTTPStatus.GATEWAY_TIMEOUT
        if self._body.complete:
            self._refuse(refuse_unknown(status, 'deadline passed'))
        else:
            self._refuse(refuse_not_run(status, 'deadline passed'))

    def _refuse(self, refusal: Refusal) -> None:
        if self._finished:
            return
        self._finish()
        if self._recorder is not None:
            self._recorder.detach()
        self._caller.refuse(refusal)

    def _finish(self) -> None:
        self._finished = True
        self._timers.cancel()
        self._inquiry.stop()


def _create_refusal(error: CallError) -> Refusal:
    """Create the refusal of a request whose claim was not committed."""
    if error.code is FailureCode.unavailable:
        return refuse_not_run(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'no control leader can be reached',
            1,
        )
    if error.code is FailureCode.invalid:
        return refuse_not_run(HTTPStatus.UNPROCESSABLE_ENTITY, error.text)
    return refuse_unknown(HTTPStatus.BAD_GATEWAY, error.text)
