"""Application of claims of keyed non-idempotent requests."""

import attrs

from wasabiturn.messages.kinds import ClaimState, OutcomeCode
from wasabiturn.messages.state import (
    ClaimRecord,
    ClaimRequest,
    ClaimRequests,
    ExpireClaims,
    Outcome,
    RecordAnswer,
    RecordAnswers,
)
from wasabiturn.version.state import Effect, State

CLAIM_LIMIT = 100_000
BODIES_LIMIT_BYTES = 67_108_864
_BODIES_KEPT_SHARE = 0.9


def claim_key(service_name: str, key: str) -> str:
    """Return the key of ``State.claims_by_key``."""
    return f'{service_name}/{key}'


def claim_requests(body: ClaimRequests, state: State) -> Effect:
    """Claim each request, or return the claim that exists.

    ``Outcome.claims`` has one record for each: the caller holds the claim if
    the record bears its ``claim_id``. Codes: ``ok``; ``conflict`` when the
    key was used for another request; ``quota`` when too many are unsettled.
    """
    outcome = Outcome(revision=state.revision)
    for claim in body.claims:
        record, code = _claim(state, claim)
        outcome.claims.append(record)
        outcome.codes.append(code)
    return Effect(outcome=outcome)


def record_answers(body: RecordAnswers, state: State) -> Effect:
    """Settle claims; the first answer of a claim stays.

    Codes: ``ok`` (also when it was settled before; the record says how),
    ``not_found``, or ``conflict`` when another claim holds the key.
    """
    outcome = Outcome(revision=state.revision)
    for answer in body.answers:
        record, code = _record(state, answer)
        outcome.claims.append(record)
        outcome.codes.append(code)
    return Effect(outcome=outcome)


def expire_claims(body: ExpireClaims, state: State) -> Effect:
    """Forget claims whose last change is before a claims revision."""
    state.claims_by_key = {
        key: record
        for key, record in state.claims_by_key.items()
        if record.revision >= body.before_revision
    }
    kept = state.claims_by_key.values()
    state.claim_bytes = sum(len(record.body) for record in kept)
    return Effect(outcome=Outcome(revision=state.revision))


def _claim(
    state: State,
    claim: ClaimRequest,
) -> tuple[ClaimRecord, OutcomeCode]:
    key = claim_key(claim.service_name, claim.key)
    present = state.claims_by_key.get(key)
    if present is None:
        return _claim_anew(state, key, claim)
    if present.claim.fingerprint != claim.fingerprint:
        return _hide_answer(present), OutcomeCode.conflict
    if _may_be_claimed_anew(present, claim):
        return _claim_anew(state, key, claim)
    return present, OutcomeCode.ok


def _may_be_claimed_anew(present: ClaimRecord, claim: ClaimRequest) -> bool:
    if present.state is not ClaimState.not_run:
        return False
    return present.claim.claim_id != claim.claim_id


def _claim_anew(
    state: State,
    key: str,
    claim: ClaimRequest,
) -> tuple[ClaimRecord, OutcomeCode]:
    if len(state.claims_by_key) >= CLAIM_LIMIT and not _forget_oldest(state):
        return ClaimRecord(claim=claim), OutcomeCode.quota
    record = ClaimRecord(claim=claim, state=ClaimState.claimed)
    return _keep(state, key, record), OutcomeCode.ok


def _record(
    state: State,
    answer: RecordAnswer,
) -> tuple[ClaimRecord, OutcomeCode]:
    key = claim_key(answer.service_name, answer.key)
    present = state.claims_by_key.get(key)
    if present is None:
        return ClaimRecord(), OutcomeCode.not_found
    if present.claim.claim_id != answer.claim_id:
        return _hide_answer(present), OutcomeCode.conflict
    if not _may_settle(present, answer):
        return present, OutcomeCode.ok
    record = ClaimRecord(
        claim=present.claim,
        state=answer.outcome,
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
        body_omitted=answer.body_omitted,
    )
    return _keep(state, key, record), OutcomeCode.ok


def _may_settle(present: ClaimRecord, answer: RecordAnswer) -> bool:
    """Tell whether ``answer`` says more than the record does."""
    if answer.outcome not in {
        ClaimState.answered,
        ClaimState.not_run,
        ClaimState.unknown,
    }:
        return False
    if present.state is ClaimState.unknown:
        return answer.outcome is not ClaimState.unknown
    return present.state is ClaimState.claimed


def _keep(state: State, key: str, record: ClaimRecord) -> ClaimRecord:
    """Keep ``record`` as the newest; the table is in order of change."""
    state.claims_revision += 1
    kept = attrs.evolve(record, revision=state.claims_revision)
    replaced = state.claims_by_key.pop(key, None)
    state.claims_by_key[key] = kept
    state.claim_bytes += len(kept.body) - _count_bytes(replaced)
    if state.claim_bytes > BODIES_LIMIT_BYTES:
        _omit_oldest_bodies(state)
    return kept


def _omit_oldest_bodies(state: State) -> None:
    target = BODIES_LIMIT_BYTES * _BODIES_KEPT_SHARE
    for key, record in state.claims_by_key.items():
        if state.claim_bytes <= target:
            return
        if record.body:
            state.claim_bytes -= len(record.body)
            state.claims_by_key[key] = attrs.evolve(
                record,
                body=b'',
                body_omitted=True,
            )


def _count_bytes(record: ClaimRecord | None) -> int:
    return len(record.body) if record else 0


def _forget_oldest(state: State) -> bool:
    for key, record in state.claims_by_key.items():
        if record.state is not ClaimState.claimed:
            state.claims_by_key.pop(key)
            state.claim_bytes -= len(record.body)
            return True
    return False


def _hide_answer(record: ClaimRecord) -> ClaimRecord:
    return ClaimRecord(
        claim=record.claim,
        state=record.state,
        revision=record.revision,
    )
