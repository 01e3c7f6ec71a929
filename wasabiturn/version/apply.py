"""Application of committed commands to the replicated state.

The functions are deterministic: the same commands give the same state and the
same outcomes on every replica.
"""

import zlib
from functools import singledispatch

import attrs

from wasabiturn.messages.batch import BatchChange
from wasabiturn.messages.codec import pack
from wasabiturn.messages.kinds import OutcomeCode
from wasabiturn.messages.state import (
    ClaimRequests,
    Command,
    DeleteResource,
    ExpireClaims,
    PutResource,
    RecordAnswers,
    RememberedOutcome,
    UpdateTasks,
)
from wasabiturn.version.apply_batch import change_batch
from wasabiturn.version.apply_claims import (
    claim_requests,
    expire_claims,
    record_answers,
)
from wasabiturn.version.apply_resources import (
    delete_resource,
    put_resource,
)
from wasabiturn.version.apply_tasks import update_tasks
from wasabiturn.version.refusals import create_refusal, create_refusal_effect
from wasabiturn.version.state import Effect, State

REQUEST_ID_LIMIT = 10_000


def apply_command(state: State, command: Command) -> Effect:
    """Apply ``command`` and return its outcome and changes.

    A command whose request id was applied before is not applied again: its
    first outcome is returned. A request id that was used for another command
    is refused. Refusals are outcomes, not exceptions.
    """
    if not command.request_id:
        return apply_body(_get_body(command), state)
    digest = zlib.crc32(pack(command))
    stored = state.outcomes_by_request_id.get(command.request_id)
    if stored is None:
        effect = apply_body(_get_body(command), state)
        _store_outcome(state, command.request_id, digest, effect)
        return effect
    if stored.digest == digest:
        return Effect(outcome=stored.outcome)
    text = 'the request id was used for another command'
    refusal = create_refusal(OutcomeCode.invalid, text, field='Request-Id')
    return create_refusal_effect(state, refusal)


@singledispatch
def apply_body(body: object, state: State) -> Effect:
    """Apply the body of a command; refuse a body of an unknown type."""
    text = 'this version does not know the command'
    return create_refusal_effect(
        state, create_refusal(OutcomeCode.invalid, text)
    )


apply_body.register(PutResource, put_resource)
apply_body.register(DeleteResource, delete_resource)
apply_body.register(UpdateTasks, update_tasks)
apply_body.register(ClaimRequests, claim_requests)
apply_body.register(RecordAnswers, record_answers)
apply_body.register(ExpireClaims, expire_claims)
apply_body.register(BatchChange, change_batch)


def _get_body(command: Command) -> object:
    bodies = [
        getattr(command, field.name)
        for field in attrs.fields(Command)
        if field.name != 'request_id'
    ]
    return next((body for body in bodies if body is not None), None)


def _store_outcome(
    state: State,
    request_id: str,
    digest: int,
    effect: Effect,
) -> None:
    outcomes = state.outcomes_by_request_id
    if len(outcomes) >= REQUEST_ID_LIMIT:
        outcomes.pop(next(iter(outcomes)))
    outcomes[request_id] = RememberedOutcome(
        request_id=request_id,
        digest=digest,
        outcome=effect.outcome,
    )
