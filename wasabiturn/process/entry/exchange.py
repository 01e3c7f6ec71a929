"""Serves one request: attempts, retries, hedges and the answer."""

from functools import partial
from http import HTTPStatus
from typing import final

from wasabiturn.messages.kinds import Verdict
from wasabiturn.messages.session import ResponseHead
from wasabiturn.process.entry.attempt import Attempt
from wasabiturn.process.entry.attempts import AttemptSet, ClaimIdentity
from wasabiturn.process.entry.interfaces import AnswerSink
from wasabiturn.process.entry.router import Router
from wasabiturn.process.entry.timers import Timers
from wasabiturn.request.buffered_body import BufferedBody
from wasabiturn.request.claims import LATE_ANSWER_SECONDS
from wasabiturn.request.health import record_failure, record_success
from wasabiturn.request.inbound import InboundRequest
from wasabiturn.request.load import record_report
from wasabiturn.request.refusal import (
    Refusal,
    refuse_not_run,
    refuse_unknown,
)
from wasabiturn.request.routing import Candidate

# An answer is aborted after one to two of these periods without data.
ANSWER_IDLE_SECONDS = 30.0

_MS_PER_SECOND = 1000


@final
class Exchange:
    """Sends a request to agents and answers the caller exactly once."""

    def __init__(
        self,
        request: InboundRequest,
        caller: AnswerSink,
        router: Router,
        body: BufferedBody,
    ) -> None:
        """Create an exchange; ``start`` or ``start_claimed`` sends it."""
        self._request = request
        self._caller = caller
        self._router = router
        self._body = body
        self._attempts = AttemptSet(request, body, router, self)
        self._answering: Attempt | None = None
        self._unconsumed = 0
        self._has_progressed = False
        self._finished = False
        self._timers = Timers(router.reactor)

    def start(self) -> None:
        """Choose an agent and send the request."""
        self._start_deadline_timer()
        if not self._attempts.send_to_chosen():
            self._retry_or_refuse('no backend server is reachable', None)
            return
        if not self._request.idempotency.idempotent:
            return
        hedge_seconds = self._router.hedge_seconds(self._request.service_name)
        if hedge_seconds is not None:
            self._timers.start(hedge_seconds, self._hedge)

    def start_claimed(self, candidate: Candidate, claim: ClaimIdentity) -> None:
        """Send the request once, to the agent that the claim names.

        Wait for the answer beyond the caller's deadline, so that a resend
        finds it recorded.
        """
        self._start_deadline_timer(LATE_ANSWER_SECONDS)
        self._attempts.claim = claim
        if not self._attempts.send(candidate):
            self._retry_or_refuse('the claimed agent is not reachable', None)

    def body_received(self, chunk: bytes) -> None:
        """Forward bytes of the request's body."""
        self._body.add(chunk)
        if self._body.is_over_limit():
            self._fail(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                'the body is over the limit',
            )
        elif not self._attempts.write(chunk):
            self._caller.pause_body()

    def body_ended(self) -> None:
        """Forward the end of the request's body."""
        self._body.complete = True
        self._attempts.end()

    def caller_lost(self) -> None:
        """Cancel all attempts; no caller waits for the answer."""
        self._close('caller hung up')

    def resume_answer(self) -> None:
        """Allow the agent to send more, because the caller reads again."""
        amount = self._unconsumed
        self._unconsumed = 0
        if self._answering is not None and amount:
            self._answering.consumed(amount)

    def attempt_answered(self, attempt: Attempt, head: ResponseHead) -> None:
        """Start the answer, or retry or refuse after an agent's refusal."""
        now = self._router.now()
        record_report(attempt.candidate.load, head.load, now)
        if head.verdict is Verdict.answered:
            self._begin_answer(attempt, head)
            return
        attempt.cancel('refused')
        self._attempts.release(attempt)
        if head.verdict is Verdict.unknown:
            self._attempts.certainly_not_run = False
            self._attempts.record_crash(head.crash)
            record_failure(attempt.candidate.health, now)
        self._retry_or_refuse(head.reason, head.retry_after_ms / _MS_PER_SECOND)

    def attempt_data(self, attempt: Attempt, chunk: bytes) -> None:
        """Forward bytes of the answer; delay credit if the caller is slow."""
        self._has_progressed = True
        if self._caller.send_body(chunk):
            attempt.consumed(len(chunk))
        else:
            self._unconsumed += len(chunk)

    def attempt_ended(self, attempt: Attempt) -> None:
        """Complete the answer."""
        self._close('answered')
        self._caller.finish_answer()

    def attempt_lost(self, attempt: Attempt, reason: str) -> None:
        """Abort an answer that has started; otherwise retry or refuse."""
        record_failure(attempt.candidate.health, self._router.now())
        self._attempts.release(attempt)
        if attempt is self._answering:
            self._close(reason)
            self._caller.abort()
            return
        if attempt.sent:
            self._attempts.certainly_not_run = False
        self._retry_or_refuse(reason, None)

    def attempt_writable(self, attempt: Attempt) -> None:
        """Resume reading the request's body."""
        if self._attempts.are_writable():
            self._caller.resume_body()

    def _begin_answer(self, attempt: Attempt, head: ResponseHead) -> None:
        record_success(attempt.candidate.health)
        self._router.record_latency(
            self._request.service_name,
            self._router.now() - attempt.started,
        )
        self._answering = attempt
        self._timers.cancel()
        self._timers.start(ANSWER_IDLE_SECONDS, self._check_progress)
        self._attempts.cancel_others(attempt, 'another attempt was answered')
        self._caller.send_head(head.status, head.headers)

    def _check_progress(self) -> None:
        """Abort the answer if the agent has sent nothing since the last check.

        A slow caller does not count as a stalled answer: its connection has
        its own time-out.
        """
        if self._has_progressed or self._unconsumed:
            self._has_progressed = False
            self._timers.start(ANSWER_IDLE_SECONDS, self._check_progress)
        else:
            self._fail(HTTPStatus.GATEWAY_TIMEOUT, 'the answer has stopped')

    def _retry_or_refuse(self, reason: str, retry_after: float | None) -> None:
        """Retry or refuse, unless another attempt is still in progress."""
        if self._finished or self._attempts.active:
            return
        if self._attempts.may_retry() and self._attempts.send_to_chosen():
            self._caller.resume_body()
            return
        self._refuse(self._attempts.refuse(reason, retry_after))

    def _hedge(self) -> None:
        if self._body.complete and self._body.repeatable:
            self._attempts.hedge()

    def _fail(self, status: HTTPStatus, reason: str) -> None:
        if self._answering:
            self._close(reason)
            self._caller.abort()
        elif self._attempts.may_have_run():
            self._refuse(refuse_unknown(status, reason))
        else:
            self._refuse(refuse_not_run(status, reason))

    def _refuse(self, refusal: Refusal) -> None:
        self._close(refusal.reason)
        self._caller.refuse(refusal)

    def _close(self, reason: str) -> None:
        self._finished = True
        self._timers.cancel()
        self._attempts.cancel_others(None, reason)

    def _start_deadline_timer(self, extra_seconds: float = 0) -> None:
        left = self._request.deadline - self._router.now()
        self._timers.start(
            left + extra_seconds,
            partial(
                self._fail,
                HTTPStatus.GATEWAY_TIMEOUT,
                'deadline passed',
            ),
        )
