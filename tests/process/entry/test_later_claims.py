"""Tests of a keyed request that meets a second claim of another holder."""

from pathlib import Path
from typing import Any

from tests.process.entry.fakes import (
    SERVICE,
    EntryHarness,
    FakeAgent,
    FakeCaller,
)
from tests.process.entry.test_keyed import KEYED, LENGTH_2, OK
from wasabiturn.ids import ClaimId
from wasabiturn.messages.kinds import ClaimState, Method
from wasabiturn.messages.state import ClaimRequest, RecordAnswer
from wasabiturn.request.claims import compute_fingerprint

KEY = 'stand-17'


def claim_for(harness: EntryHarness, agent: FakeAgent, claim_id: str) -> None:
    claim = ClaimRequest(
        service_name=SERVICE,
        key=KEY,
        entry='other',
        claim_id=claim_id,
        agent=agent.name,
        agent_incarnation=agent.core.incarnation,
        fingerprint=compute_fingerprint('POST', '/confirm', b'hello'),
    )
    harness.session._run(Method.claim, claim)


def settle(harness: EntryHarness, claim_id: str, **fields: Any) -> None:
    answer = RecordAnswer(
        service_name=SERVICE, key=KEY, claim_id=claim_id, **fields
    )
    harness.session._run(Method.record_answer, answer)


def wait_for_second_claim(
    harness: EntryHarness,
) -> tuple[FakeCaller, FakeAgent]:
    """Let a request wait 2 s for one claim, then meet another one."""
    first, second = harness.pool.agents
    claim_for(harness, first, 'claim-1')
    first.lose_link()
    caller = harness.call(KEYED)
    harness.advance(2)
    settle(harness, 'claim-1', outcome=ClaimState.not_run)
    claim_for(harness, second, 'claim-2')
    return caller, second


def test_newer_claim_is_not_refused_before_its_request_arrives(
    tmp_path: Path,
) -> None:
    harness = EntryHarness(tmp_path)
    _, agent = wait_for_second_claim(harness)
    harness.advance(0.3)
    assert agent.core.claims.look_up(ClaimId('claim-2')) is None


def test_answer_to_a_newer_claim_has_its_time_to_be_recorded(
    tmp_path: Path,
) -> None:
    harness = EntryHarness(tmp_path)
    caller, agent = wait_for_second_claim(harness)
    agent.core.claims.admit(ClaimId('claim-2'))
    agent.core.claims.finish(ClaimId('claim-2'), ran=True)
    harness.advance(1.2)
    settle(
        harness,
        'claim-2',
        outcome=ClaimState.answered,
        status=200,
        headers=list(LENGTH_2),
        body=b'ok',
    )
    harness.advance(0.3)
    assert caller.received == OK
