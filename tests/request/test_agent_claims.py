"""Tests of the claims that an agent has seen."""

from wasabiturn.ids import ClaimId
from wasabiturn.messages.kinds import AgentClaimState, Verdict
from wasabiturn.request.agent_claims import AgentClaims

CLAIM = ClaimId('claim-1')


def test_new_claim_is_refused_permanently() -> None:
    claims = AgentClaims()
    assert claims.refuse(CLAIM) is AgentClaimState.refused
    assert claims.admit(CLAIM) is Verdict.not_run
    assert claims.refuse(CLAIM) is AgentClaimState.refused


def test_running_or_done_claim_is_not_refused() -> None:
    claims = AgentClaims()
    assert claims.admit(CLAIM) is None
    assert claims.refuse(CLAIM) is AgentClaimState.running
    claims.finish(CLAIM, ran=True)
    assert claims.refuse(CLAIM) is AgentClaimState.done


def test_claim_does_not_run_twice() -> None:
    claims = AgentClaims()
    claims.admit(CLAIM)
    assert claims.admit(CLAIM) is Verdict.unknown
    claims.finish(CLAIM, ran=True)
    assert claims.admit(CLAIM) is Verdict.unknown


def test_claim_refused_by_admission_stays_refused() -> None:
    claims = AgentClaims()
    claims.admit(CLAIM)
    claims.finish(CLAIM, ran=False)
    assert claims.admit(CLAIM) is Verdict.not_run


def test_claims_in_the_bloom_filter_are_unknown_and_do_not_run() -> None:
    claims = AgentClaims(max_settled=10)
    ids = [ClaimId(f'claim-{number}') for number in range(200)]
    for claim_id in ids:
        claims.refuse(claim_id)
    assert claims.refuse(ids[0]) is AgentClaimState.unknown
    assert claims.admit(ids[0]) is Verdict.unknown
    assert all(claims.admit(claim_id) is not None for claim_id in ids)
    assert claims.admit(ClaimId('fresh')) is None
