"""Claims of keyed non-idempotent requests that one agent has seen.

An agent answers for its own incarnation only. The table is bounded: the
oldest settled claims are kept as bits of a Bloom filter only. A claim found
there may have run, so it neither runs nor is it said not to have run.
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
    """Bloom filter of the claims that the table has dropped."""

    _bits: bytearray = attrs.field(factory=lambda: bytearray(FILTER_BYTES))

    def add(self, claim_id: ClaimId) -> None:
        """Remember ``claim_id``."""
        for byte, mask in _positions(claim_id):
            self._bits[byte] |= mask

    def __contains__(self, claim_id: ClaimId) -> bool:
        """Return false only when ``claim_id`` was never added."""
        return all(
            self._bits[byte] & mask for byte, mask in _positions(claim_id)
        )


@final
@attrs.define
class AgentClaims:
    """Claims by their state, for one incarnation of the agent."""

    max_settled: int = MAX_SETTLED
    _state_by_id: OrderedDict[ClaimId, AgentClaimState] = attrs.field(
        factory=OrderedDict,
    )
    _running: set[ClaimId] = attrs.field(factory=set)
    _dropped: ClaimFilter = attrs.field(factory=ClaimFilter)

    def admit(self, claim_id: ClaimId) -> Verdict | None:
        """Register a claim that arrived; the verdict of one that may not run.

        ``Verdict.not_run`` is certain; ``Verdict.unknown`` means that the
        same claim has arrived before.
        """
        state = self.look_up(claim_id)
        if state is None:
            self._running.add(claim_id)
            return None
        if state is AgentClaimState.refused:
            return Verdict.not_run
        return Verdict.unknown

    def refuse(self, claim_id: ClaimId) -> AgentClaimState:
        """Refuse ``claim_id`` for ever unless it was seen; return its state."""
        state = self.look_up(claim_id)
        if state is None:
            state = AgentClaimState.refused
            self._settle(claim_id, state)
        return state

    def finish(self, claim_id: ClaimId, ran: bool) -> None:
        """Settle an admitted claim; ``ran`` is false only when certain."""
        self._running.discard(claim_id)
        state = AgentClaimState.done if ran else AgentClaimState.refused
        self._settle(claim_id, state)

    def look_up(self, claim_id: ClaimId) -> AgentClaimState | None:
        """Return the state of a claim, or none if it was never seen."""
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


def _positions(claim_id: ClaimId) -> list[tuple[int, int]]:
    """Return byte and mask of each bit of ``claim_id`` in the filter."""
    digest = hashlib.sha256(claim_id.encode()).digest()
    numbers = (
        int.from_bytes(digest[start : start + HASH_BYTES], 'big')
        for start in range(0, FILTER_HASHES * HASH_BYTES, HASH_BYTES)
    )
    return [
        (number % FILTER_BYTES, 1 << (number // FILTER_BYTES) % 8)
        for number in numbers
    ]
