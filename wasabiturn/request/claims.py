"""Decisions of an entry on the claim of a keyed non-idempotent request."""

import hashlib
from http import HTTPStatus
from typing import final

import attrs

from wasabiturn.messages.kinds import (
    AgentClaimState,
    ClaimState,
)
from wasabiturn.messages.state import ClaimRecord
from wasabiturn.request.refusal import (
    Refusal,
    refuse_unknown,
)

# The holder of a claim sends its request at once, so after this time the agent
# named in the claim has seen it.
ASK_AGENT_AFTER_SECONDS = 0.5
# Time for the holder of a claim to record an answer that the agent has given.
RECORD_GRACE_SECONDS = 2.0
# Time for an unreachable agent named in a claim to become reachable again.
AGENT_RECONNECT_SECONDS = 3.0

# How long past the caller's deadline the answer to a claimed request is still
# awaited, so that a resent request finds it recorded.
LATE_ANSWER_SECONDS = 30.0


@final
@attrs.frozen
class SendRequest:
    """Send the request once: this entry holds its claim."""


@final
@attrs.frozen
class ClaimAnew:
    """Claim the key again: the request has not run and nobody holds it."""


@final
@attrs.frozen
class ReplayAnswer:
    """Replay the recorded answer."""

    record: ClaimRecord


@final
@attrs.frozen
class AwaitAnswer:
    """Look the record up again later: another attempt is in progress."""


@final
@attrs.frozen
class AskAgent:
    """Ask the agent named in the claim for the state of the claim."""

    record: ClaimRecord


@final
@attrs.frozen
class SettleClaim:
    """Record the outcome of another holder's claim, then decide again."""

    record: ClaimRecord
    outcome: ClaimState


@final
@attrs.frozen
class RefuseRequest:
    """Refuse the request."""

    refusal: Refusal


ClaimStep = (
    SendRequest
    | ClaimAnew
    | ReplayAnswer
    | AwaitAnswer
    | AskAgent
    | SettleClaim
    | RefuseRequest
)


def compute_fingerprint(method: str, path: str, body: bytes) -> str:
    """Return the SHA-256 digest of a request in hexadecimal.

    A key may be reused only for requests with the same fingerprint.
    """
    digest = hashlib.sha256()
    for part in (method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()


def decide_on_record(
    record: ClaimRecord,
    claim_id: str,
    waited_seconds: float,
) -> ClaimStep:
    """Decide on the next step from the record of a key.

    ``claim_id`` is the claim that this entry made and has not yet sent;
    ``waited_seconds`` is the time since this entry first saw the claim of
    another holder.
    """
    if record.state is ClaimState.answered:
        if record.body_omitted:
            return RefuseRequest(
                refuse_unknown(
                    HTTPStatus.BAD_GATEWAY,
                    'the request ran; its answer was too large to be kept',
                ),
            )
        return ReplayAnswer(record)
    if record.state is ClaimState.unknown:
        return RefuseRequest(_refuse_lost_answer())
    if record.state is ClaimState.not_run:
        return ClaimAnew()
    if record.claim.claim_id == claim_id:
        return SendRequest()
    if waited_seconds < ASK_AGENT_AFTER_SECONDS:
        return AwaitAnswer()
    return AskAgent(record)


def decide_on_verdict(
    record: ClaimRecord,
    state: AgentClaimState,
    waited_seconds: float,
) -> ClaimStep:
    """Decide on the next step from the state that the agent reported.

    The agent is the one named in the claim of another holder;
    ``waited_seconds`` is the time since it was first asked.
    """
    if state is AgentClaimState.refused:
        return SettleClaim(record, ClaimState.not_run)
    if state is AgentClaimState.running:
        return AwaitAnswer()
    may_be_recorded = waited_seconds < RECORD_GRACE_SECONDS
    if state is AgentClaimState.done and may_be_recorded:
        return AwaitAnswer()
    return SettleClaim(record, ClaimState.unknown)


def decide_on_unreachable_agent(waited_seconds: float) -> ClaimStep:
    """Decide on the next step while the agent in a claim is unreachable."""
    if waited_seconds < AGENT_RECONNECT_SECONDS:
        return AwaitAnswer()
    return RefuseRequest(_refuse_lost_answer())


def _refuse_lost_answer() -> Refusal:
    return refuse_unknown(
        HTTPStatus.BAD_GATEWAY,
        'the request was sent before and its answer is lost',
    )
