"""Batched commits of the claims and answers that entries send.

Messages that arrive while a batch is being committed form the next batch.
"""

from collections.abc import Callable
from typing import Any, final

import attrs
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure as TwistedFailure

from wasabiturn.connection.calls import CallError
from wasabiturn.messages.kinds import FailureCode, OutcomeCode
from wasabiturn.messages.state import (
    ClaimRecord,
    ClaimRequest,
    ClaimRequests,
    Command,
    Outcome,
    RecordAnswer,
    RecordAnswers,
)
from wasabiturn.process.control.submission import submit
from wasabiturn.version.replica import Replica

MAX_BATCH_MESSAGES = 200


@final
@attrs.define
class _PendingMessage:
    message: Any
    result: Deferred[ClaimRecord]


@final
@attrs.define
class CommandBatcher:
    """Commit messages of one type, at most one batch at a time."""

    replica: Replica
    create_command: Callable[[list[Any]], Command]
    waiting: list[_PendingMessage] = attrs.field(factory=list)
    is_committing: bool = False

    def add(self, message: Any) -> Deferred[ClaimRecord]:
        """Commit ``message``; fires with the claim record in force.

        Fails with ``CallError``; its code is ``invalid`` if the key was used
        for another request or the claim does not exist.
        """
        result: Deferred[ClaimRecord] = Deferred()
        self.waiting.append(_PendingMessage(message, result))
        if not self.is_committing:
            self._commit()
        return result

    def _commit(self) -> None:
        batch = self.waiting[:MAX_BATCH_MESSAGES]
        self.waiting = self.waiting[MAX_BATCH_MESSAGES:]
        self.is_committing = True
        messages = [each.message for each in batch]
        committed = submit(self.replica, self.create_command(messages))
        committed.addCallbacks(
            lambda outcome: _resolve_batch(batch, outcome),
            lambda failure: _fail_batch(batch, failure),
        )
        committed.addBoth(lambda _: self._on_committed())

    def _on_committed(self) -> None:
        self.is_committing = False
        if self.waiting:
            self._commit()


def create_claim_batcher(replica: Replica) -> CommandBatcher:
    """Create the batcher of ``ClaimRequest`` messages."""
    return CommandBatcher(replica=replica, create_command=_create_claims)


def create_answer_batcher(replica: Replica) -> CommandBatcher:
    """Create the batcher of ``RecordAnswer`` messages."""
    return CommandBatcher(replica=replica, create_command=_create_answers)


def _create_claims(claims: list[ClaimRequest]) -> Command:
    return Command(claim=ClaimRequests(claims=claims))


def _create_answers(answers: list[RecordAnswer]) -> Command:
    return Command(record=RecordAnswers(answers=answers))


def _resolve_batch(batch: list[_PendingMessage], outcome: Outcome) -> None:
    results = zip(batch, outcome.claims, outcome.codes, strict=True)
    for each, record, code in results:
        if code == OutcomeCode.ok:
            each.result.callback(record)
        else:
            each.result.errback(_create_error(code))


def _create_error(code: int) -> CallError:
    if code == OutcomeCode.quota:
        return CallError(FailureCode.unavailable, 'too many claims are open')
    if code == OutcomeCode.not_found:
        return CallError(FailureCode.invalid, 'there is no such claim')
    return CallError(FailureCode.invalid, 'the key names another request')


def _fail_batch(batch: list[_PendingMessage], failure: TwistedFailure) -> None:
    for each in batch:
        each.result.errback(failure)
