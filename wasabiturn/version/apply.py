"""Application of commands to the state.

Pure: the same commands give the same state and outcomes on each replica.
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
from wasabiturn.version.refusals import refuse, refused
from wasabiturn.version.state import Effect, State

REQUEST_ID_LIMIT = 10_000


def apply_command(state: State, command: Command) -> Effect:
    """Apply ``command``; a request id seen before gets its first outcome.

    Refusals are outcomes, not errors. A request id that comes again with
    another command is refused.
    """
    if not command.request_id:
        return apply_body(_body_of(command), state)
    digest = zlib.crc32(pack(command))
    remembered = state.outcomes_by_request_id.get(command.request_id)
    if remembered is None:
        effect = apply_body(_body_of(command), state)
        _remember(state, command.request_id, digest, effect)
        return effect
    if remembered.digest == digest:
        return Effect(outcome=remembered.outcome)
    text = 'the request id was used for another command'
    refusal = refuse(OutcomeCode.invalid, text, field='Request-Id')
    return refused(state, refusal)


@singledispatch
def apply_body(body: object, state: State) -> Effect:
    """Apply the body of a command; an unknown one is refused."""
    text = 'this version does not know the command'
    return refused(state, refuse(OutcomeCode.invalid, text))


apply_body.register(PutResource, put_resource)
apply_body.register(DeleteResource, delete_resource)
apply_body.register(UpdateTasks, update_tasks)
apply_body.register(ClaimRequests, claim_requests)
apply_body.register(RecordAnswers, record_answers)
apply_body.register(ExpireClaims, expire_claims)
apply_body.register(BatchChange, change_batch)


def _body_of(command: Command) -> object:
    bodies = [
        getattr(command, field.name)
        for field in attrs.fields(Command)
        if field.name != 'request_id'
    ]
    return next((body for body in bodies if body is not None), None)


def _remember(
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
