"""Application of claims of non-idempotent requests with idempotency keys."""

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
_BODIES_TARGET_RATIO = 0.9


def claim_key(service_name: str, key: str) -> str:
    """Return the key of a claim in ``State.claims_by_key``."""
    return f'{service_name}/{key}'


def claim_requests(body: ClaimRequests, state: State) -> Effect:
    """Claim each request, or return the existing claim.

    ``Outcome.claims`` has one record for each request: the caller holds the
    claim if the record has its ``claim_id``. ``Outcome.codes`` has one code
    for each: ``ok``; ``conflict`` if the key was used for another request;
    ``quota`` if there are too many unsettled claims.
    """
    outcome = Outcome(revision=state.revision)
    for claim in body.claims:
        record, code = _claim_request(state, claim)
        outcome.claims.append(record)
        outcome.codes.append(code)
    return Effect(outcome=outcome)


def record_answers(body: RecordAnswers, state: State) -> Effect:
    """Settle claims with the recorded answers.

    The first answer to a claim is kept. ``Outcome.codes`` has one code for
    each: ``ok``, also if the claim was settled before (the record has that
    answer); ``not_found``; or ``conflict`` if another claim holds the key.
    """
    outcome = Outcome(revision=state.revision)
    for answer in body.answers:
        record, code = _record_answer(state, answer)
        outcome.claims.append(record)
        outcome.codes.append(code)
    return Effect(outcome=outcome)


def expire_claims(body: ExpireClaims, state: State) -> Effect:
    """Delete claims that were last changed before a claims revision."""
    state.claims_by_key = {
        key: record
        for key, record in state.claims_by_key.items()
        if record.revision >= body.before_revision
    }
    stored = state.claims_by_key.values()
    state.claim_body_bytes = sum(len(record.body) for record in stored)
    return Effect(outcome=Outcome(revision=state.revision))


def _claim_request(
    state: State,
    claim: ClaimRequest,
) -> tuple[ClaimRecord, OutcomeCode]:
    key = claim_key(claim.service_name, claim.key)
    existing = state.claims_by_key.get(key)
    if existing is None:
        return _create_claim(state, key, claim)
    if existing.claim.fingerprint != claim.fingerprint:
        return _copy_without_answer(existing), OutcomeCode.conflict
    if _can_be_claimed_again(existing, claim):
        return _create_claim(state, key, claim)
    return existing, OutcomeCode.ok


def _can_be_claimed_again(existing: ClaimRecord, claim: ClaimRequest) -> bool:
    if existing.state is not ClaimState.not_run:
        return False
    return existing.claim.claim_id != claim.claim_id


def _create_claim(
    state: State,
    key: str,
    claim: ClaimRequest,
) -> tuple[ClaimRecord, OutcomeCode]:
    if len(state.claims_by_key) >= CLAIM_LIMIT and not _remove_oldest(state):
        return ClaimRecord(claim=claim), OutcomeCode.quota
    record = ClaimRecord(claim=claim, state=ClaimState.claimed)
    return _store_record(state, key, record), OutcomeCode.ok


def _record_answer(
    state: State,
    answer: RecordAnswer,
) -> tuple[ClaimRecord, OutcomeCode]:
    key = claim_key(answer.service_name, answer.key)
    existing = state.claims_by_key.get(key)
    if existing is None:
        return ClaimRecord(), OutcomeCode.not_found
    if existing.claim.claim_id != answer.claim_id:
        return _copy_without_answer(existing), OutcomeCode.conflict
    if not _can_settle(existing, answer):
        return existing, OutcomeCode.ok
    record = ClaimRecord(
        claim=existing.claim,
        state=answer.outcome,
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
        body_omitted=answer.body_omitted,
    )
    return _store_record(state, key, record), OutcomeCode.ok


def _can_settle(existing: ClaimRecord, answer: RecordAnswer) -> bool:
    """Return whether ``answer`` adds information to the existing record."""
    if answer.outcome not in {
        ClaimState.answered,
        ClaimState.not_run,
        ClaimState.unknown,
    }:
        return False
    if existing.state is ClaimState.unknown:
        return answer.outcome is not ClaimState.unknown
    return existing.state is ClaimState.claimed


def _store_record(state: State, key: str, record: ClaimRecord) -> ClaimRecord:
    """Store ``record`` as the newest; claims are ordered by last change."""
    state.claims_revision += 1
    stored = attrs.evolve(record, revision=state.claims_revision)
    replaced = state.claims_by_key.pop(key, None)
    state.claims_by_key[key] = stored
    state.claim_body_bytes += len(stored.body) - _get_body_size(replaced)
    if state.claim_body_bytes > BODIES_LIMIT_BYTES:
        _omit_oldest_bodies(state)
    return stored


def _omit_oldest_bodies(state: State) -> None:
    target = BODIES_LIMIT_BYTES * _BODIES_TARGET_RATIO
    for key, record in state.claims_by_key.items():
        if state.claim_body_bytes <= target:
            return
        if record.body:
            state.claim_body_bytes -= len(record.body)
            state.claims_by_key[key] = attrs.evolve(
                record,
                body=b'',
                body_omitted=True,
            )


def _get_body_size(record: ClaimRecord | None) -> int:
    return len(record.body) if record else 0


def _remove_oldest(state: State) -> bool:
    """Remove the oldest settled claim; return whether there was one."""
    for key, record in state.claims_by_key.items():
        if record.state is not ClaimState.claimed:
            state.claims_by_key.pop(key)
            state.claim_body_bytes -= len(record.body)
            return True
    return False


def _copy_without_answer(record: ClaimRecord) -> ClaimRecord:
    return ClaimRecord(
        claim=record.claim,
        state=record.state,
        revision=record.revision,
    )
