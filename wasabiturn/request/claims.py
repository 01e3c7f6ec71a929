"""What an entry does with the claim of a keyed non-idempotent request."""

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

# A claimant sends at once, so its agent knows of the claim by then.
ASK_AFTER_SECONDS = 0.5
# Time for the claimant to record an answer that its agent has given.
RECORD_GRACE_SECONDS = 2.0
# Time for the agent named in a claim to be reached again.
SILENT_AGENT_SECONDS = 3.0

# The answer of a claimed request is awaited so long past the caller's deadline,
# so that a resend finds it recorded.
LATE_ANSWER_SECONDS = 30.0


@final
@attrs.frozen
class SendRequest:
    """This entry holds the claim: send the request once."""


@final
@attrs.frozen
class ClaimAnew:
    """The request has not run and nobody holds its claim."""


@final
@attrs.frozen
class ReplayAnswer:
    """Answer as recorded."""

    record: ClaimRecord


@final
@attrs.frozen
class AwaitAnswer:
    """Another attempt is under way: look again later."""


@final
@attrs.frozen
class AskAgent:
    """Ask the agent named in the claim what became of it."""

    record: ClaimRecord


@final
@attrs.frozen
class SettleClaim:
    """Record how another claimant's attempt ended, then look again."""

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
    """Return the SHA-256 over what a key names, in hexadecimal."""
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
    """Decide what to do with the record of a key.

    ``claim_id`` is the claim that this entry has made and not yet sent;
    ``waited_seconds`` counts from the first sight of another's claim.
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
        return RefuseRequest(_refuse_lost())
    if record.state is ClaimState.not_run:
        return ClaimAnew()
    if record.claim.claim_id == claim_id:
        return SendRequest()
    if waited_seconds < ASK_AFTER_SECONDS:
        return AwaitAnswer()
    return AskAgent(record)


def decide_on_verdict(
    record: ClaimRecord,
    state: AgentClaimState,
    waited_seconds: float,
) -> ClaimStep:
    """Decide by what the agent named in another's claim says of it.

    ``waited_seconds`` counts from the first time that it was asked.
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
    """Decide while the agent named in a claim cannot be reached."""
    if waited_seconds < SILENT_AGENT_SECONDS:
        return AwaitAnswer()
    return RefuseRequest(_refuse_lost())


def _refuse_lost() -> Refusal:
    return refuse_unknown(
        HTTPStatus.BAD_GATEWAY,
        'the request was sent before and its answer is lost',
    )
