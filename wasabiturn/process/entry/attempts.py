"""Attempts of one request that are under way."""

from http import HTTPStatus
from typing import final

import attrs

from wasabiturn.ids import InstanceName
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

_MS_PER_SECOND = 1000


@final
@attrs.frozen
class ClaimIdentity:
    """Claim under which a keyed request is sent."""

    claim_id: str = ''
    key: str = ''
    agent_incarnation: str = ''


@final
@attrs.define(eq=False)
class AttemptSet:
    """Sends attempts and counts them against the load of their agents.

    ``certain`` means that no attempt that has ended ran.
    """

    request: InboundRequest
    body: BufferedBody
    router: Router
    owner: AttemptOwner
    claim: ClaimIdentity = attrs.field(factory=ClaimIdentity)
    certainly_not_run: bool = True
    made: int = 0
    active: list[Attempt] = attrs.field(factory=list)
    _tried: set[InstanceName] = attrs.field(factory=set)

    def send_to_chosen(self) -> bool:
        """Send to an agent that the router chooses; false if there is none."""
        chosen = self.router.choose(self.request, self._tried)
        return chosen is not None and self.send(chosen.candidate)

    def hedge(self) -> None:
        """Send to a second agent that has a slot to spare, and pay for it."""
        chosen = self.router.choose(self.request, self._tried)
        if chosen is None or not may_take_hedge(chosen):
            return
        budget = self.router.find_budget(self.request.service_name)
        if may_hedge(self.made, budget):
            self.send(chosen.candidate)

    def send(self, candidate: Candidate) -> bool:
        """Send to one agent; false if its link is closed."""
        self._tried.add(candidate.name)
        link = self.router.find_link(candidate, self.claim.agent_incarnation)
        if link is None:
            return False
        self.made += 1
        attempt = Attempt(self.made, candidate, self.owner, self.router.now())
        self.active.append(attempt)
        record_sent(candidate.load, attempt.started)
        attempt.open(link, self._create_head(attempt))
        for chunk in self.body.chunks:
            attempt.write(chunk)
        if self.body.complete:
            attempt.end()
        return True

    def write(self, chunk: bytes) -> bool:
        """Send on bytes of the body; false if an agent wants a pause."""
        for attempt in list(self.active):
            attempt.write(chunk)
        return self.are_writable()

    def end(self) -> None:
        """Send on the end of the body."""
        for attempt in list(self.active):
            attempt.end()

    def are_writable(self) -> bool:
        """Tell whether every agent takes more of the body."""
        return all(attempt.writable_now for attempt in self.active)

    def may_have_run(self) -> bool:
        """Tell whether it is not certain that the request did not run."""
        return not self.certainly_not_run or bool(self.active)

    def may_retry(self) -> bool:
        """Decide whether to send the request again, and pay for it."""
        unanswered = UnansweredRequest(
            idempotent=self.request.idempotency.idempotent,
            certainly_not_run=self.certainly_not_run,
            repeatable=self.body.repeatable and not self.claim.claim_id,
            attempts=self.made,
            deadline=self.request.deadline,
        )
        budget = self.router.find_budget(self.request.service_name)
        return may_retry(unanswered, budget, self.router.now())

    def refuse(self, reason: str, retry_after: float | None) -> Refusal:
        """Create the refusal that holds for every attempt made."""
        if self.may_have_run():
            return refuse_unknown(HTTPStatus.BAD_GATEWAY, reason)
        return refuse_not_run(
            HTTPStatus.SERVICE_UNAVAILABLE,
            reason,
            retry_after or 0,
        )

    def release(self, attempt: Attempt) -> None:
        """Stop counting an attempt that has ended."""
        if attempt in self.active:
            self.active.remove(attempt)
            record_done(attempt.candidate.load)
            self.router.pool.release()

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
        )
