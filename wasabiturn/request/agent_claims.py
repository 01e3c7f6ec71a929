"""Claims of keyed non-idempotent requests that one agent has seen.

An agent knows only the claims that its own incarnation has seen. The table
is bounded: when it is full, the oldest settled claims move to a Bloom
filter. The request of a claim found in the filter may have run, so it is not
run, and its state is reported as unknown.
"""

import hashlib
from collections import OrderedDict
from typing import final

import attrs

from wasabiturn.ids import ClaimId
from wasabiturn.messages.kinds import AgentClaimState, Verdict

MAX_SETTLED = 50_000
FILTER_BYTES = 1024 * 1024
FILTER_HASHES = 7
HASH_BYTES = 4


@final
@attrs.define
class ClaimFilter:
    """Bloom filter of the claims removed from the table."""

    _bits: bytearray = attrs.field(factory=lambda: bytearray(FILTER_BYTES))

    def add(self, claim_id: ClaimId) -> None:
        """Add ``claim_id`` to the filter."""
        for byte, mask in _bit_positions(claim_id):
            self._bits[byte] |= mask

    def __contains__(self, claim_id: ClaimId) -> bool:
        """Return whether ``claim_id`` may have been added.

        False positives are possible, false negatives are not.
        """
        return all(
            self._bits[byte] & mask for byte, mask in _bit_positions(claim_id)
        )


@final
@attrs.define
class AgentClaims:
    """States of the claims seen by one incarnation of the agent."""

    max_settled: int = MAX_SETTLED
    _state_by_id: OrderedDict[ClaimId, AgentClaimState] = attrs.field(
        factory=OrderedDict,
    )
    _running: set[ClaimId] = attrs.field(factory=set)
    _dropped: ClaimFilter = attrs.field(factory=ClaimFilter)

    def admit(self, claim_id: ClaimId) -> Verdict | None:
        """Register a claim; return ``None`` if its request may run.

        ``Verdict.not_run`` means that the request has not run and will not;
        ``Verdict.unknown`` means that the claim has been seen before, so
        that the request may have run.
        """
        state = self.look_up(claim_id)
        if state is None:
            self._running.add(claim_id)
            return None
        if state is AgentClaimState.refused:
            return Verdict.not_run
        return Verdict.unknown

    def refuse(self, claim_id: ClaimId) -> AgentClaimState:
        """Refuse ``claim_id`` permanently if it is new; return its state."""
        state = self.look_up(claim_id)
        if state is None:
            state = AgentClaimState.refused
            self._settle(claim_id, state)
        return state

    def finish(self, claim_id: ClaimId, ran: bool) -> None:
        """Settle an admitted claim.

        ``ran`` is false only if the request certainly did not run.
        """
        self._running.discard(claim_id)
        state = AgentClaimState.done if ran else AgentClaimState.refused
        self._settle(claim_id, state)

    def look_up(self, claim_id: ClaimId) -> AgentClaimState | None:
        """Return the state of a claim, ``None`` if it was never seen."""
        if claim_id in self._running:
            return AgentClaimState.running
        state = self._state_by_id.get(claim_id)
        if state is None and claim_id in self._dropped:
            return AgentClaimState.unknown
        return state

    def _settle(self, claim_id: ClaimId, state: AgentClaimState) -> None:
        self._state_by_id[claim_id] = state
        while len(self._state_by_id) > self.max_settled:
            dropped, _ = self._state_by_id.popitem(last=False)
            self._dropped.add(dropped)


def _bit_positions(claim_id: ClaimId) -> list[tuple[int, int]]:
    """Return the byte index and mask of each filter bit of ``claim_id``."""
    digest = hashlib.sha256(claim_id.encode()).digest()
    numbers = (
        int.from_bytes(digest[start : start + HASH_BYTES], 'big')
        for start in range(0, FILTER_HASHES * HASH_BYTES, HASH_BYTES)
    )
    return [
        (number % FILTER_BYTES, 1 << (number // FILTER_BYTES) % 8)
        for number in numbers
    ]
