"""Decides which connections are closed when memory or descriptors run out.

Made for clients outside anyone's control that open many connections, and send
many bodies that they don't finish, or read no responses. The decisions are
pure: what each connection holds is passed to them as a ``Claim``.
"""

import enum
import heapq
from collections.abc import Iterable
from typing import Any, final

import attrs

# The age of a request that has just begun, so that its rate is finite.
MIN_AGE_SECONDS = 0.01
# A client may take this long to read a response before it counts as one that
# does not read.
UNREAD_GRACE_SECONDS = 5.0


@final
class Rank(enum.IntEnum):
    """Whose connection it is; a higher rank never yields to a lower one."""

    caller = 0
    # Operators, workers, and processes of the group.
    trusted = 1


@final
class Phase(enum.Enum):
    """What a connection does."""

    # No request has begun.
    idle = 'idle'
    # A request has begun and is not whole.
    receiving = 'receiving'
    # A whole request waits, or is handled.
    running = 'running'
    # The peer has not read what was sent to it.
    sending = 'sending'
    # It is being closed, and has its descriptor until the next turn.
    closing = 'closing'


@final
@attrs.frozen(eq=False)
class Claim:
    """What one connection holds; its phase began at ``since``."""

    owner: Any
    rank: Rank
    phase: Phase
    since: float
    held_bytes: int = 0
    has_served: bool = False


def choose_for_memory(
    claims: Iterable[Claim], excess_bytes: int, rank: Rank, now: float
) -> list[Claim]:
    """Return the connections to close so that ``excess_bytes`` are freed.

    Lower ranks come first, and ranks above ``rank`` never. Of one rank, the
    unfinished requests with the lowest rate come first, then responses that
    have not been read for a while. A request that is whole is never chosen.
    """
    candidates = [
        claim
        for claim in claims
        if claim.held_bytes and claim.rank <= rank and _may_yield(claim, now)
    ]
    candidates.sort(key=lambda claim: _memory_key(claim, now))
    chosen: list[Claim] = []
    for claim in candidates:
        if excess_bytes <= 0:
            break
        excess_bytes -= claim.held_bytes
        chosen.append(claim)
    return chosen


def choose_for_connection(
    claims: Iterable[Claim],
    count: int,
    rank: Rank,
    is_reserve_used: bool = False,
) -> list[Claim]:
    """Return up to ``count`` connections to close for one of ``rank``.

    Lower ranks come first, and ranks above ``rank`` never. Of one rank, those
    that never carried a whole request come first, then the ones that have been
    idle for the longest time. One with a whole request is never chosen.

    Once trusted clients have used all that is reserved for them, those that
    never carried a whole request count as callers: anyone may have opened them.
    """

    def rank_of(claim: Claim) -> Rank:
        is_proven = claim.has_served or not is_reserve_used
        return claim.rank if is_proven else Rank.caller

    candidates = [
        claim
        for claim in claims
        if rank_of(claim) <= rank and claim.phase in _WITHOUT_WHOLE_REQUEST
    ]
    return heapq.nsmallest(
        count,
        candidates,
        key=lambda claim: (rank_of(claim), claim.has_served, claim.since),
    )


_WITHOUT_WHOLE_REQUEST = frozenset((Phase.idle, Phase.receiving))


def _may_yield(claim: Claim, now: float) -> bool:
    if claim.phase is Phase.sending:
        return now - claim.since > UNREAD_GRACE_SECONDS
    return claim.phase is Phase.receiving


def _memory_key(claim: Claim, now: float) -> tuple[int, bool, float]:
    if claim.phase is Phase.sending:
        return claim.rank, True, claim.since
    age_seconds = max(now - claim.since, MIN_AGE_SECONDS)
    return claim.rank, False, claim.held_bytes / age_seconds
