"""Tests of claims of non-idempotent requests with idempotency keys."""

import pytest

from tests.version.resources import answer, claim
from wasabiturn.messages.kinds import ClaimState, OutcomeCode
from wasabiturn.messages.state import (
    ClaimRecord,
    Command,
    ExpireClaims,
)
from wasabiturn.version import apply_claims
from wasabiturn.version.apply import apply_command
from wasabiturn.version.persistence import dump_state, load_state
from wasabiturn.version.state import State, create_state


def apply_claim_command(
    state: State, command: Command
) -> tuple[ClaimRecord, int]:
    outcome = apply_command(state, command).outcome
    return outcome.claims[0], outcome.codes[0]


def test_second_claim_returns_the_existing_claim() -> None:
    state = create_state()
    apply_claim_command(state, claim('c-1'))
    record, code = apply_claim_command(state, claim('c-2'))
    assert (record.claim.claim_id, code) == ('c-1', OutcomeCode.ok)


def test_key_reused_for_another_request_is_refused_without_answer() -> None:
    state = create_state()
    apply_claim_command(state, claim('c-1'))
    apply_claim_command(
        state, answer('c-1', outcome=ClaimState.answered, body=b'secret')
    )
    record, code = apply_claim_command(state, claim('c-2', fingerprint='other'))
    assert (record.body, code) == (b'', OutcomeCode.conflict)


def test_key_can_be_claimed_again_if_the_request_did_not_run() -> None:
    state = create_state()
    apply_claim_command(state, claim('c-1'))
    apply_claim_command(state, answer('c-1', outcome=ClaimState.not_run))
    record, _ = apply_claim_command(state, claim('c-1'))
    assert record.state is ClaimState.not_run
    record, _ = apply_claim_command(state, claim('c-2'))
    assert record.claim.claim_id == 'c-2'
    assert record.state is ClaimState.claimed
    record, code = apply_claim_command(
        state, answer('c-1', outcome=ClaimState.answered)
    )
    assert code == OutcomeCode.conflict


def test_first_definite_answer_is_kept() -> None:
    state = create_state()
    apply_claim_command(state, claim('c-1'))
    apply_claim_command(state, answer('c-1', outcome=ClaimState.unknown))
    apply_claim_command(
        state, answer('c-1', outcome=ClaimState.answered, status=200)
    )
    record, _ = apply_claim_command(
        state, answer('c-1', outcome=ClaimState.not_run)
    )
    assert (record.state, record.status) == (ClaimState.answered, 200)


def test_claims_expire_and_are_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(apply_claims, 'CLAIM_LIMIT', 2)
    state = create_state()
    apply_claim_command(state, claim('c-1', key='k'))
    apply_claim_command(state, claim('c-2', key='other'))
    _, code = apply_claim_command(state, claim('c-3', key='third'))
    assert code == OutcomeCode.quota
    apply_claim_command(state, answer('c-1', outcome=ClaimState.answered))
    _, code = apply_claim_command(state, claim('c-3', key='third'))
    assert code == OutcomeCode.ok
    expire = ExpireClaims(before_revision=state.claims_revision)
    apply_command(state, Command(expire=expire))
    assert list(state.claims_by_key) == ['desk/third']


def test_oldest_bodies_are_omitted_over_the_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(apply_claims, 'BODIES_LIMIT_BYTES', 100)
    state = create_state()
    for number in range(3):
        apply_claim_command(state, claim(f'c-{number}', key=f'k{number}'))
        recorded = answer(
            f'c-{number}', outcome=ClaimState.answered, body=b'x' * 40
        )
        assert recorded.record is not None
        recorded.record.answers[0].key = f'k{number}'
        apply_claim_command(state, recorded)
    omitted = [each.body_omitted for each in state.claims_by_key.values()]
    assert omitted == [True, False, False]
    assert state.claim_body_bytes == 80
    assert load_state(dump_state(state)) == state
