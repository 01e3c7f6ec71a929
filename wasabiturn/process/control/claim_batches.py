"""Claims and answers of entries, committed in batches.

While one batch is being committed the next one gathers.
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

BATCH_LIMIT = 200


@final
@attrs.define
class _Waiting:
    message: Any
    settled: Deferred[ClaimRecord]


@final
@attrs.define
class Batches:
    """Commits messages of one kind, at most one batch at a time."""

    replica: Replica
    create_command: Callable[[list[Any]], Command]
    waiting: list[_Waiting] = attrs.field(factory=list)
    is_committing: bool = False

    def add(self, message: Any) -> Deferred[ClaimRecord]:
        """Commit ``message``; fires with the claim record in force.

        Fails with ``CallError``, ``invalid`` for a key of another request.
        """
        settled: Deferred[ClaimRecord] = Deferred()
        self.waiting.append(_Waiting(message, settled))
        if not self.is_committing:
            self._commit()
        return settled

    def _commit(self) -> None:
        batch = self.waiting[:BATCH_LIMIT]
        self.waiting = self.waiting[BATCH_LIMIT:]
        self.is_committing = True
        messages = [each.message for each in batch]
        committed = submit(self.replica, self.create_command(messages))
        committed.addCallbacks(
            lambda outcome: _settle(batch, outcome),
            lambda failure: _fail(batch, failure),
        )
        committed.addBoth(lambda _: self._on_committed())

    def _on_committed(self) -> None:
        self.is_committing = False
        if self.waiting:
            self._commit()


def create_claim_batches(replica: Replica) -> Batches:
    """Create the batches of ``ClaimRequest``."""
    return Batches(replica=replica, create_command=_create_claims)


def create_answer_batches(replica: Replica) -> Batches:
    """Create the batches of ``RecordAnswer``."""
    return Batches(replica=replica, create_command=_create_answers)


def _create_claims(claims: list[ClaimRequest]) -> Command:
    return Command(claim=ClaimRequests(claims=claims))


def _create_answers(answers: list[RecordAnswer]) -> Command:
    return Command(record=RecordAnswers(answers=answers))


def _settle(batch: list[_Waiting], outcome: Outcome) -> None:
    settled = zip(batch, outcome.claims, outcome.codes, strict=True)
    for each, record, code in settled:
        if code == OutcomeCode.ok:
            each.settled.callback(record)
        else:
            each.settled.errback(_create_refusal(code))


def _create_refusal(code: int) -> CallError:
    if code == OutcomeCode.quota:
        return CallError(FailureCode.unavailable, 'too many claims are open')
    if code == OutcomeCode.not_found:
        return CallError(FailureCode.invalid, 'there is no such claim')
    return CallError(FailureCode.invalid, 'the key names another request')


def _fail(batch: list[_Waiting], failure: TwistedFailure) -> None:
    for each in batch:
        each.settled.errback(failure)
