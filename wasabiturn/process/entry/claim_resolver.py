"""Finds the outcome of a claim held by another entry or request."""

from collections.abc import Callable
from typing import Any, final

from wasabiturn.connection.calls import CallError
from wasabiturn.ids import InstanceName
from wasabiturn.messages.kinds import ClaimState, Method
from wasabiturn.messages.session import (
    ClaimLookup,
    ClaimVerdict,
    RefuseClaim,
)
from wasabiturn.messages.state import ClaimRecord, ClaimRequest, RecordAnswer
from wasabiturn.process.entry.claim_calls import ClaimCalls
from wasabiturn.process.entry.router import Router
from wasabiturn.process.entry.timers import Timers
from wasabiturn.request.claims import (
    AskAgent,
    AwaitAnswer,
    ClaimStep,
    SettleClaim,
    decide_on_unreachable_agent,
    decide_on_verdict,
)
from wasabiturn.utils.logs import create_component_log

POLL_INTERVAL_SECONDS = 0.1
ASK_TIMEOUT_SECONDS = 1.0

_log = create_component_log('entry')


@final
class ClaimResolver:
    """Polls the record of a key until the outcome of its claim is known.

    ``on_record`` gets each record, or ``None`` for a key without one.
    ``on_step`` gets the step that follows from the outcome. ``on_failure``
    gets the error of a look-up, unless a record was seen before.
    """

    def __init__(
        self,
        claim: ClaimRequest,
        router: Router,
        calls: ClaimCalls,
        on_record: Callable[[ClaimRecord | None], None],
        on_step: Callable[[ClaimStep], None],
        on_failure: Callable[[CallError], None],
    ) -> None:
        """Create a resolver for the key that ``claim`` names."""
        self._claim = claim
        self._router = router
        self._calls = calls
        self._on_record = on_record
        self._on_step = on_step
        self._on_failure = on_failure
        self._timers = Timers(router.reactor)
        # Newest claim that was seen; the times are of this claim only.
        self._seen_claim_id: str | None = None
        self._claim_seen_at: float = 0
        self._first_asked_at: float | None = None
        self._stopped = False

    def stop(self) -> None:
        """Stop polling; no callback is called after that."""
        self._stopped = True
        self._timers.cancel()

    def waited_seconds(self, claim_id: str) -> float:
        """Return the time since another claim on the key was first seen."""
        now = self._router.now()
        if self._seen_claim_id != claim_id:
            self._seen_claim_id = claim_id
            self._claim_seen_at = now
            self._first_asked_at = None
        return now - self._claim_seen_at

    def schedule_look_up(self) -> None:
        """Look up the record after the polling interval."""
        if not self._stopped:
            self._timers.cancel()
            self._timers.start(POLL_INTERVAL_SECONDS, self.look_up)

    def look_up(self) -> None:
        """Look up the record now."""
        found = self._calls.look_up(self._claim)
        found.addCallbacks(self._handle_lookup, self._handle_lookup_failure)

    def ask_agent(self, record: ClaimRecord) -> None:
        """Ask the agent that the claim names for the claim's state.

        An agent that does not have the claim yet refuses it from then on.
        """
        now = self._router.now()
        if self._first_asked_at is None:
            self._first_asked_at = now
        link = self._router.pool.find_link(InstanceName(record.claim.agent))
        if link is None:
            self.execute_step(
                decide_on_unreachable_agent(now - self._first_asked_at)
            )
            return
        asked = link.call(
            Method.refuse_claim,
            RefuseClaim(
                claim_id=record.claim.claim_id,
                agent_incarnation=record.claim.agent_incarnation,
            ),
            ClaimVerdict,
            ASK_TIMEOUT_SECONDS,
        )
        asked.addCallback(
            self._handle_verdict, record, now - self._first_asked_at
        )
        asked.addErrback(self._handle_unreachable, now - self._first_asked_at)

    def record_outcome(self, claim: ClaimRequest, outcome: ClaimState) -> None:
        """Record the outcome of a claim, then handle the key's record."""
        recorded = self._calls.record(
            RecordAnswer(
                service_name=claim.service_name,
                key=claim.key,
                claim_id=claim.claim_id,
                outcome=outcome,
            ),
        )
        recorded.addCallbacks(
            self._handle_record, lambda _: self.schedule_look_up()
        )

    def execute_step(self, step: ClaimStep) -> None:
        """Execute a step, or pass it to ``on_step`` if it ends the polling."""
        if self._stopped:
            return
        if isinstance(step, AwaitAnswer):
            self.schedule_look_up()
        elif isinstance(step, AskAgent):
            self.ask_agent(step.record)
        elif isinstance(step, SettleClaim):
            self.record_outcome(step.record.claim, step.outcome)
        else:
            self._on_step(step)

    def _handle_lookup(self, lookup: ClaimLookup) -> None:
        self._handle_record(lookup.record)

    def _handle_record(self, record: ClaimRecord | None) -> None:
        if not self._stopped:
            self._on_record(record)

    def _handle_lookup_failure(self, failure: Any) -> None:
        failure.trap(CallError)
        if self._stopped:
            return
        if self._seen_claim_id is None:
            self._on_failure(failure.value)
        else:
            self.schedule_look_up()

    def _handle_verdict(
        self,
        verdict: ClaimVerdict,
        record: ClaimRecord,
        waited_seconds: float,
    ) -> None:
        _log.decision(
            'agent reported the state of a claim',
            claim=record.claim.claim_id,
            agent=record.claim.agent,
            waited=waited_seconds,
            chosen=verdict.state.name,
        )
        self.execute_step(
            decide_on_verdict(record, verdict.state, waited_seconds),
        )

    def _handle_unreachable(self, failure: Any, waited_seconds: float) -> None:
        failure.trap(CallError)
        self.execute_step(decide_on_unreachable_agent(waited_seconds))
