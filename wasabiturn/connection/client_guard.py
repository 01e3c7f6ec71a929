"""Bounds what all accepted connections of one process hold together.

Each connection reports the bytes that it holds. When the budget is used up, or
no connection is left for a new client, others are closed; ``client_claims``
decides which.
"""

from collections.abc import Callable
from typing import Any, Protocol, final

import attrs

from wasabiturn.connection.client_claims import (
    Claim,
    Rank,
    choose_for_connection,
    choose_for_memory,
)
from wasabiturn.connection.rejection_log import RejectionLog
from wasabiturn.connection.rejections import RejectionCause
from wasabiturn.utils.ticker import Ticker

DEFAULT_MEMORY_MB = 424
DEFAULT_MAX_FDS = 4096
# Share of the memory for what connections hold: the programs themselves take
# 40 MB and more, and a request takes several times its bytes when it is read.
BUDGET_DIVISOR = 5
# A connection takes up to 16 KB beside what it holds, so all of them take at
# most a quarter of the memory.
CONNECTIONS_PER_MB = 16
# What trusted clients may hold beyond the budget, as a share of it, so that
# whole requests of callers, which are never closed, leave room for them.
TRUSTED_DIVISOR = 4
# Share of the budget for what one link keeps that its peer does not take.
LINK_DIVISOR = 8
# Share of the budget for decoded requests that wait for an answer of the group.
WAITING_DIVISOR = 2
# New connections of one address that wait until the loop accepts them. Each may
# have sent some ten KB, which count as memory of the process.
BACKLOG_PER_MB = 2
MAX_BACKLOG = 1024
DEFAULT_BACKLOG = min(DEFAULT_MEMORY_MB * BACKLOG_PER_MB, MAX_BACKLOG)
FILE_DESCRIPTORS = 200
# Ports, links that this process opens, and connections to its worker.
OWN_DESCRIPTORS = 64
# Share of the connections that callers leave to others, at least and at most.
RESERVED_DIVISOR = 8
MIN_RESERVED = 16
MAX_RESERVED = 512
# Closed connections keep their descriptors until the next turn of the loop, so
# clients are closed before the last descriptor is used, several at a time.
CLOSED_DIVISOR = 32
# Below this change a connection does not report, so that an ordinary request
# costs no report.
REPORT_BYTES = 4096
CHECK_SECONDS = 0.5
# A check that is this late follows a pause of the process. What clients have
# sent meanwhile is read before their deadlines are checked.
MAX_LATE_SECONDS = 0.5
_BYTES_PER_MB = 1_000_000


@final
@attrs.frozen
class ClientBounds:
    """Bounds of one process, in bytes and connections."""

    budget_bytes: int
    max_connections: int
    reserved_connections: int
    backlog: int = DEFAULT_BACKLOG

    @property
    def link_bytes(self) -> int:
        """Return how many bytes one link may keep unsent."""
        return self.budget_bytes // LINK_DIVISOR

    @property
    def waiting_bytes(self) -> int:
        """Return how much requests may take that wait for an answer."""
        return self.budget_bytes // WAITING_DIVISOR

    def budget_of(self, rank: Rank) -> int:
        """Return how many bytes may be held when one of ``rank`` adds some."""
        if rank is Rank.caller:
            return self.budget_bytes
        return self.budget_bytes + self.budget_bytes // TRUSTED_DIVISOR

    def limit_of(self, rank: Rank) -> int:
        """Return how many connections there may be for one of ``rank``."""
        if rank is Rank.caller:
            return self.max_connections - self.reserved_connections
        return self.max_connections

    @property
    def limit_beyond_reserve(self) -> int:
        """Return how many there may be for trusted clients beyond theirs.

        Callers still find room for as many as are closed at a time.
        """
        limit = self.limit_of(Rank.caller)
        return limit - _count_closed(limit)


def create_bounds(
    memory_mb: int = DEFAULT_MEMORY_MB, max_fds: int = DEFAULT_MAX_FDS
) -> ClientBounds:
    """Return the bounds of a process with this memory and descriptors."""
    connections = max(max_fds - FILE_DESCRIPTORS - OWN_DESCRIPTORS, 1)
    connections = min(connections, memory_mb * CONNECTIONS_PER_MB)
    reserved = max(connections // RESERVED_DIVISOR, MIN_RESERVED)
    return ClientBounds(
        budget_bytes=memory_mb * _BYTES_PER_MB // BUDGET_DIVISOR,
        max_connections=connections,
        reserved_connections=min(reserved, MAX_RESERVED, connections // 2),
        backlog=min(memory_mb * BACKLOG_PER_MB, MAX_BACKLOG),
    )


class GuardedClient(Protocol):
    """Accepted connection; ``held_bytes`` is what it has reported."""

    rank: Rank
    held_bytes: int

    def create_claim(self) -> Claim:
        """Return what the connection holds now."""

    def check_deadlines(self, now: float) -> None:
        """Close the connection if its peer is too slow."""

    def yield_to_others(self, cause: RejectionCause) -> None:
        """Close the connection, which has no whole request."""


@final
class ClientGuard:
    """Memory budget and connections of one process."""

    def __init__(
        self,
        clock: Any,
        bounds: ClientBounds | None = None,
        on_rejection: Callable[[RejectionCause, Rank], None] | None = None,
    ) -> None:
        """Create the guard; ``on_rejection`` counts rejected clients."""
        self.bounds = bounds or create_bounds()
        self.used_bytes = 0
        self.clients: dict[GuardedClient, None] = {}
        self._trusted_clients = 0
        self._clock = clock
        self._log = RejectionLog(clock)
        self._on_rejection = on_rejection
        self._checked_at = 0.0
        self._ticker = Ticker(self._check, clock)

    def admits(self, rank: Rank) -> bool:
        """Return whether a new connection is accepted; make room for it.

        Connections that were closed count until their descriptors are free.
        """
        limit = self.bounds.limit_of(rank)
        is_reserve_used = self._is_reserve_used()
        if rank is Rank.trusted and is_reserve_used:
            limit = self.bounds.limit_beyond_reserve
        count = _count_closed(limit)
        if len(self.clients) < limit - count:
            return True
        self._close(
            choose_for_connection(
                self._list_claims(), count, rank, is_reserve_used
            ),
            RejectionCause.connections,
        )
        if len(self.clients) < limit:
            return True
        self.record(RejectionCause.connections, rank)
        return False

    def add(self, client: GuardedClient) -> None:
        """Add an accepted connection."""
        if not self.clients:
            self._checked_at = self._clock.seconds()
            self._ticker.start(CHECK_SECONDS, now=False)
        self.clients[client] = None
        self._trusted_clients += client.rank is Rank.trusted

    def remove(self, client: GuardedClient) -> None:
        """Remove a connection that was lost."""
        if client in self.clients:
            self._set_held(client, 0)
            self.clients.pop(client)
            self._trusted_clients -= client.rank is Rank.trusted
            if not self.clients:
                self._ticker.stop()

    def report(self, client: GuardedClient, held_bytes: int) -> None:
        """Record what a connection holds; close others if that is too much."""
        grows = held_bytes > client.held_bytes
        self._set_held(client, held_bytes)
        if grows and self.is_exhausted(client.rank):
            self._free_memory(client.rank)

    def report_change(self, client: GuardedClient, held_bytes: int) -> None:
        """Report what a connection holds, if it has changed by much."""
        if abs(held_bytes - client.held_bytes) >= REPORT_BYTES:
            self.report(client, held_bytes)

    def is_exhausted(self, rank: Rank) -> bool:
        """Return whether the budget is used up for clients of ``rank``."""
        return self.used_bytes > self.bounds.budget_of(rank)

    def record(self, cause: RejectionCause, rank: Rank) -> None:
        """Count and log a rejected client."""
        self._log.record(cause, rank, len(self.clients), self.used_bytes)
        if self._on_rejection is not None:
            self._on_rejection(cause, rank)

    def _is_reserve_used(self) -> bool:
        return self._trusted_clients >= self.bounds.reserved_connections

    def _set_held(self, client: GuardedClient, held_bytes: int) -> None:
        self.used_bytes += held_bytes - client.held_bytes
        client.held_bytes = held_bytes

    def _free_memory(self, rank: Rank) -> None:
        # Some more is freed, so that not each further byte leads here.
        budget_bytes = self.bounds.budget_of(rank)
        target_bytes = budget_bytes - budget_bytes // CLOSED_DIVISOR
        self._close(
            choose_for_memory(
                self._list_claims(),
                self.used_bytes - target_bytes,
                rank,
                self._clock.seconds(),
            ),
            RejectionCause.memory,
        )

    def _list_claims(self) -> list[Claim]:
        return [client.create_claim() for client in self.clients]

    def _close(self, claims: list[Claim], cause: RejectionCause) -> None:
        for claim in claims:
            self._set_held(claim.owner, 0)
            claim.owner.yield_to_others(cause)

    def _check(self) -> None:
        now = self._clock.seconds()
        late_seconds = now - self._checked_at - CHECK_SECONDS
        self._checked_at = now
        if late_seconds > MAX_LATE_SECONDS:
            # The loop runs due calls before it reads.
            self._clock.callLater(0, self._clock.callLater, 0, self._check_all)
        else:
            self._check_all()

    def _check_all(self) -> None:
        now = self._clock.seconds()
        for client in list(self.clients):
            client.check_deadlines(now)


def _count_closed(limit: int) -> int:
    """Return how many connections are closed at a time near a limit."""
    return max(limit // CLOSED_DIVISOR, 1)
