"""Calls to the control leader about claims of idempotency keys.

The leader commits the claims of all entries in batches.
"""

import itertools
from typing import Any, final

import attrs
from twisted.internet.defer import Deferred

from wasabiturn.messages.kinds import Method
from wasabiturn.messages.session import ClaimLookup, LookUpClaim
from wasabiturn.messages.state import (
    ClaimRecord,
    ClaimRequest,
    RecordAnswer,
)
from wasabiturn.process.entry.session import EntrySession

CLAIM_TIMEOUT_SECONDS = 3.0
# Long, because an answer that is not recorded cannot be replayed to a resend.
RECORD_TIMEOUT_SECONDS = 30.0
LOOK_UP_TIMEOUT_SECONDS = 1.0


@final
@attrs.define
class ClaimCalls:
    """Calls about the claims of one entry; all fail with ``CallError``."""

    session: EntrySession
    entry: str
    incarnation: str
    # Calls of ``claim`` and ``record`` that have not finished.
    pending: int = 0
    claim_numbers: Any = attrs.field(factory=lambda: itertools.count(1))

    def create_claim(self, claim: ClaimRequest) -> ClaimRequest:
        """Return ``claim`` with the name of this entry and a new id."""
        claim_id = f'{self.entry}-{self.incarnation}-{next(self.claim_numbers)}'
        return attrs.evolve(claim, entry=self.entry, claim_id=claim_id)

    def claim(self, claim: ClaimRequest) -> Deferred[ClaimRecord]:
        """Commit a claim; fire with the record that is in force."""
        called = self.session.call_leader(
            Method.claim,
            claim,
            ClaimRecord,
            CLAIM_TIMEOUT_SECONDS,
        )
        return self._track_pending(called)

    def record(self, answer: RecordAnswer) -> Deferred[ClaimRecord]:
        """Commit the outcome of a claim; fire with the key's record."""
        called = self.session.call_leader(
            Method.record_answer,
            answer,
            ClaimRecord,
            RECORD_TIMEOUT_SECONDS,
        )
        return self._track_pending(called)

    def look_up(self, claim: ClaimRequest) -> Deferred[ClaimLookup]:
        """Read the record of a key."""
        return self.session.call_leader(
            Method.look_up_claim,
            LookUpClaim(service_name=claim.service_name, key=claim.key),
            ClaimLookup,
            LOOK_UP_TIMEOUT_SECONDS,
        )

    def _track_pending(
        self, called: Deferred[ClaimRecord]
    ) -> Deferred[ClaimRecord]:
        self.pending += 1
        return called.addBoth(self._untrack_pending)

    def _untrack_pending(self, result: Any) -> Any:
        self.pending -= 1
        return result
