"""Inquiry after a claim that another entry, or an earlier request, holds."""

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
from wasabiturn.utils.logs import create_part_log

POLL_SECONDS = 0.1
ASK_TIMEOUT_SECONDS = 1.0

_log = create_part_log('entry')


@final
class ClaimInquiry:
    """Looks the record of a key up until it says how the attempt ended.

    ``on_record`` gets each record, ``None`` for a key without one;
    ``on_step`` gets a step that ends the inquiry; ``on_failure`` gets the
    error of a look-up before any record was seen.
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
        """Create an inquiry after the key that ``claim`` names."""
        self._claim = claim
        self._router = router
        self._calls = calls
        self._on_record = on_record
        self._on_step = on_step
        self._on_failure = on_failure
        self._timers = Timers(router.reactor)
        self._seen_at: float | None = None
        self._asked_at: float | None = None
        self._stopped = False

    def stop(self) -> None:
        """End the inquiry; nothing is called after that."""
        self._stopped = True
        self._timers.cancel()

    def waited_seconds(self) -> float:
        """Return the time since another's claim was first seen."""
        now = self._router.now()
        if self._seen_at is None:
            self._seen_at = now
        return now - self._seen_at

    def wait(self) -> None:
        """Look the record up again soon."""
        if not self._stopped:
            self._timers.cancel()
            self._timers.start(POLL_SECONDS, self.look_up)

    def look_up(self) -> None:
        """Look the record up now."""
        found = self._calls.look_up(self._claim)
        found.addCallbacks(self._take_lookup, self._take_failure)

    def ask(self, record: ClaimRecord) -> None:
        """Ask the agent that the claim names what became of it."""
        now = self._router.now()
        if self._asked_at is None:
            self._asked_at = now
        link = self._router.pool.find_link(InstanceName(record.claim.agent))
        if link is None:
            self.carry_out(decide_on_unreachable_agent(now - self._asked_at))
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
        asked.addCallback(self._take_verdict, record, now - self._asked_at)
        asked.addErrback(self._take_silence, now - self._asked_at)

    def settle(self, claim: ClaimRequest, outcome: ClaimState) -> None:
        """Record how an attempt ended, then take the record that holds."""
        recorded = self._calls.record(
            RecordAnswer(
                service_name=claim.service_name,
                key=claim.key,
                claim_id=claim.claim_id,
                outcome=outcome,
            ),
        )
        recorded.addCallbacks(self._take_record, lambda _: self.wait())

    def carry_out(self, step: ClaimStep) -> None:
        """Carry out a step of the inquiry; hand over one that ends it."""
        if self._stopped:
            return
        if isinstance(step, AwaitAnswer):
            self.wait()
        elif isinstance(step, AskAgent):
            self.ask(step.record)
        elif isinstance(step, SettleClaim):
            self.settle(step.record.claim, step.outcome)
        else:
            self._on_step(step)

    def _take_lookup(self, lookup: ClaimLookup) -> None:
        self._take_record(lookup.record)

    def _take_record(self, record: ClaimRecord | None) -> None:
        if not self._stopped:
            self._on_record(record)

    def _take_failure(self, failure: Any) -> None:
        failure.trap(CallError)
        if self._stopped:
            return
        if self._seen_at is None:
            self._on_failure(failure.value)
        else:
            self.wait()

    def _take_verdict(
        self,
        verdict: ClaimVerdict,
        record: ClaimRecord,
        waited_seconds: float,
    ) -> None:
        _log.decision(
            'claim inquired',
            claim=record.claim.claim_id,
            agent=record.claim.agent,
            waited=waited_seconds,
            chosen=verdict.state.name,
        )
        self.carry_out(
            decide_on_verdict(record, verdict.state, waited_seconds),
        )

    def _take_silence(self, failure: Any, waited_seconds: float) -> None:
        failure.trap(CallError)
        self.carry_out(decide_on_unreachable_agent(waited_seconds))
