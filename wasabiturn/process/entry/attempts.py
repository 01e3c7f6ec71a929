"""Attempts of one request, and its retries and hedges."""

from http import HTTPStatus
from typing import final

import attrs

from wasabiturn.ids import InstanceName
from wasabiturn.messages.kinds import CrashSuspicion
from wasabiturn.messages.session import RequestHead
from wasabiturn.process.entry.attempt import Attempt, AttemptOwner
from wasabiturn.process.entry.router import Router
from wasabiturn.request.buffered_body import BufferedBody
from wasabiturn.request.inbound import InboundRequest
from wasabiturn.request.load import record_done, record_sent
from wasabiturn.request.refusal import (
    Refusal,
    refuse_not_run,
    refuse_unknown,
)
from wasabiturn.request.retry import UnansweredRequest, may_hedge, may_retry
from wasabiturn.request.routing import Candidate, may_take_hedge
from wasabiturn.request.suspects import may_run_again

_MS_PER_SECOND = 1000


@final
@attrs.frozen
class ClaimIdentity:
    """Claim that a keyed request is sent with; empty for other requests."""

    claim_id: str = ''
    key: str = ''
    agent_incarnation: str = ''


@final
@attrs.define(eq=False)
class AttemptSet:
    """Sends a request to agents and counts it in the load of each."""

    request: InboundRequest
    body: BufferedBody
    router: Router
    owner: AttemptOwner
    claim: ClaimIdentity = attrs.field(factory=ClaimIdentity)
    # Whether it is certain that no finished attempt ran.
    certainly_not_run: bool = True
    sent_count: int = 0
    # Backend servers that crashed under the request.
    crashes: int = 0
    newest_suspicion: CrashSuspicion = CrashSuspicion.none
    active: list[Attempt] = attrs.field(factory=list)
    _tried: set[InstanceName] = attrs.field(factory=set)

    def send_to_chosen(self) -> bool:
        """Send to an agent that the router chooses; false if not sent."""
        chosen = self.router.choose(self.request, self._tried, self.crashes)
        return chosen is not None and self.send(chosen.candidate)

    def hedge(self) -> None:
        """Send to a second agent if slots and the retry budget allow it."""
        chosen = self.router.choose(self.request, self._tried)
        if chosen is None or not may_take_hedge(chosen):
            return
        budget = self.router.find_budget(self.request.service_name)
        if may_hedge(self.sent_count, budget):
            self.send(chosen.candidate)

    def send(self, candidate: Candidate) -> bool:
        """Send to one agent; return false if its link is closed."""
        self._tried.add(candidate.name)
        link = self.router.find_link(candidate, self.claim.agent_incarnation)
        if link is None:
            return False
        self.sent_count += 1
        attempt = Attempt(
            self.sent_count,
            candidate,
            self.owner,
            self.router.now(),
            is_suspect=self.crashes > 0,
        )
        self.active.append(attempt)
        candidate.suspects += attempt.is_suspect
        record_sent(candidate.load, attempt.started)
        attempt.open(link, self._create_head(attempt))
        for chunk in self.body.chunks:
            attempt.write(chunk)
        if self.body.complete:
            attempt.end()
        return True

    def write(self, chunk: bytes) -> bool:
        """Forward bytes of the body; return whether every agent takes more."""
        for attempt in list(self.active):
            attempt.write(chunk)
        return self.are_writable()

    def end(self) -> None:
        """Forward the end of the body."""
        for attempt in list(self.active):
            attempt.end()

    def are_writable(self) -> bool:
        """Return whether every agent takes more of the body."""
        return all(attempt.writable_now for attempt in self.active)

    def may_have_run(self) -> bool:
        """Return whether any attempt may have run the request."""
        return not self.certainly_not_run or bool(self.active)

    def record_crash(self, suspicion: CrashSuspicion) -> None:
        """Count a backend server that crashed under an attempt."""
        if suspicion is not CrashSuspicion.none:
            self.crashes += 1
            self.newest_suspicion = suspicion

    def may_retry(self) -> bool:
        """Return whether to retry; if so, charge the retry budget."""
        if not may_run_again(self.crashes, self.newest_suspicion):
            return False
        unanswered = UnansweredRequest(
            idempotent=self.request.idempotency.idempotent,
            certainly_not_run=self.certainly_not_run,
            repeatable=self.body.repeatable and not self.claim.claim_id,
            attempts=self.sent_count,
            deadline=self.request.deadline,
        )
        budget = self.router.find_budget(self.request.service_name)
        return may_retry(unanswered, budget, self.router.now())

    def refuse(self, reason: str, retry_after: float | None) -> Refusal:
        """Create a refusal whose outcome covers all attempts."""
        if not may_run_again(self.crashes, self.newest_suspicion):
            self.router.record_given_up(self.request, self.crashes)
            reason = (
                f'{self.crashes} backend servers crashed under the request; '
                'it is not sent on'
            )
        if self.may_have_run():
            return refuse_unknown(HTTPStatus.BAD_GATEWAY, reason)
        return refuse_not_run(
            HTTPStatus.SERVICE_UNAVAILABLE,
            reason,
            retry_after or 0,
        )

    def release(self, attempt: Attempt) -> None:
        """Remove a finished attempt from the load of its agent."""
        if attempt in self.active:
            self.active.remove(attempt)
            attempt.candidate.suspects -= attempt.is_suspect
            record_done(attempt.candidate.load)
            self.router.pool.close_unused_links()

    def cancel_others(self, kept: Attempt | None, reason: str) -> None:
        """Cancel every attempt but ``kept``."""
        for attempt in list(self.active):
            if attempt is not kept:
                attempt.cancel(reason)
                self.release(attempt)

    def _create_head(self, attempt: Attempt) -> RequestHead:
        request = self.request
        return RequestHead(
            request_id=request.request_id,
            attempt=attempt.number,
            service_name=request.service_name,
            method=request.method,
            path=request.path,
            headers=request.headers,
            timeout_ms=(request.deadline - attempt.started) * _MS_PER_SECOND,
            idempotent=request.idempotency.idempotent,
            claim_id=self.claim.claim_id,
            claim_key=self.claim.key,
            caller=request.caller,
            crashes=self.crashes,
        )
