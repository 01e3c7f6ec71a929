"""Serves non-idempotent requests that have an idempotency key."""

from functools import singledispatchmethod
from http import HTTPStatus
from typing import Any, final

import attrs

from wasabiturn.connection.calls import CallError
from wasabiturn.ids import InstanceName
from wasabiturn.messages.kinds import ClaimState, FailureCode
from wasabiturn.messages.state import ClaimRecord, ClaimRequest
from wasabiturn.process.entry.attempts import ClaimIdentity
from wasabiturn.process.entry.claim_calls import ClaimCalls
from wasabiturn.process.entry.claim_resolver import ClaimResolver
from wasabiturn.process.entry.exchange import Exchange
from wasabiturn.process.entry.interfaces import AnswerSink
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
from wasabiturn.utils.logs import create_component_log

MAX_KEYED_BODY_BYTES = 1_048_576

_log = create_component_log('entry')


@final
class KeyedRequest:
    """Claims the key, then sends the request or replays a recorded answer.

    It waits while another request holds the claim. Once finished, it sends
    nothing more to an agent.
    """

    def __init__(
        self,
        request: InboundRequest,
        caller: AnswerSink,
        router: Router,
        calls: ClaimCalls,
    ) -> None:
        """Create a keyed request; it claims the key at the end of the body."""
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
        self._resolver = ClaimResolver(
            self._claim,
            router,
            calls,
            on_record=self._handle_record,
            on_step=self._execute_step,
            on_failure=lambda error: self._refuse(_create_refusal(error)),
        )
        self._timers.start(request.deadline - router.now(), self._expire)

    def body_received(self, chunk: bytes) -> None:
        """Buffer bytes of the request's body."""
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
        """Send nothing more, but still record an attempt in progress."""
        self._finish()
        self.resume_answer()

    def resume_answer(self) -> None:
        """Allow the agent to send more."""
        if self._attempt is not None:
            self._attempt.resume_answer()

    def _claim_key(self) -> None:
        choice = self._router.choose(self._request, self._tried)
        link = choice and self._router.find_link(choice.candidate, '')
        if choice is None or link is None:
            self._resolver.look_up()
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
        claimed.addCallbacks(self._handle_record, self._handle_claim_failure)

    def _handle_claim_failure(self, failure: Any) -> None:
        failure.trap(CallError)
        if not self._finished:
            self._refuse(_create_refusal(failure.value))

    def _handle_record(self, record: ClaimRecord | None) -> None:
        if self._finished:
            self._release_claim(record)
            return
        if record is None:
            self._execute_step(ClaimAnew())
            return
        waited_seconds = self._resolver.waited_seconds(record.claim.claim_id)
        step = decide_on_record(record, self._claim.claim_id, waited_seconds)
        _log.decision(
            'next step chosen from the record of a claim',
            request=self._request.request_id,
            claim=record.claim.claim_id,
            state=record.state.name,
            waited=waited_seconds,
            chosen=type(step).__name__,
        )
        self._execute_step(step)

    def _release_claim(self, record: ClaimRecord | None) -> None:
        """Record as not run a claim that was committed too late to be sent."""
        if record is None or self._attempt is not None:
            return
        if record.claim.claim_id == self._claim.claim_id:
            self._resolver.record_outcome(self._claim, ClaimState.not_run)

    @singledispatchmethod
    def _execute_step(self, step: ClaimStep) -> None:
        self._resolver.execute_step(step)

    @_execute_step.register
    def _(self, step: SendRequest) -> None:
        if self._attempt is not None or self._candidate is None:
            return
        recorder = AnswerRecorder(
            self._claim,
            self._caller,
            self._calls,
            self._router,
        )
        recorder.on_refused = self._handle_refusal
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

    @_execute_step.register
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

    @_execute_step.register
    def _(self, step: ReplayAnswer) -> None:
        self._finish()
        self._caller.send_head(step.record.status, step.record.headers)
        self._caller.send_body(step.record.body)
        self._caller.finish_answer()

    @_execute_step.register
    def _(self, step: RefuseRequest) -> None:
        self._refuse(step.refusal)

    def _handle_refusal(self, refusal: Refusal) -> None:
        """Release the claim after a refusal, and retry if that is allowed."""
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
        given_up = self._claim
        # The record may be made late, so the claim must not be sent again.
        self._claim = attrs.evolve(given_up, claim_id='')
        self._resolver.record_outcome(given_up, ClaimState.not_run)

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
        self._resolver.stop()


def _create_refusal(error: CallError) -> Refusal:
    """Create the refusal for a claim call that failed."""
    if error.code is FailureCode.unavailable:
        return refuse_not_run(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'no control leader can be reached',
            1,
        )
    if error.code is FailureCode.invalid:
        return refuse_not_run(HTTPStatus.UNPROCESSABLE_ENTITY, error.text)
    return refuse_unknown(HTTPStatus.BAD_GATEWAY, error.text)
