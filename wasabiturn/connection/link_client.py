"""Accepted link as one of the connections that a guard bounds.

A peer may declare a frame and never finish it, or read nothing of what is sent
to it.
"""

from typing import Any, Protocol, final

from wasabiturn.connection import client_deadlines
from wasabiturn.connection.client_claims import Claim, Phase, Rank
from wasabiturn.connection.client_guard import ClientGuard
from wasabiturn.connection.frames import FrameBuffer
from wasabiturn.connection.rejections import RejectionCause
from wasabiturn.connection.unread_watch import (
    UnreadWatch,
    count_unsent_bytes,
)


class GuardedLink(Protocol):
    """What a guard needs of a link."""

    is_open: bool
    transport: Any

    def abort(self, reason: str) -> None:
        """Abort the connection."""


@final
class LinkClient:
    """What one link holds: an unfinished frame, and what is not read."""

    def __init__(
        self,
        guard: ClientGuard,
        clock: Any,
        link: GuardedLink,
        frames: FrameBuffer,
    ) -> None:
        """Begin to watch a link that was accepted."""
        self.rank = Rank.trusted
        self.held_bytes = 0
        self._guard = guard
        self._clock = clock
        self._link = link
        self._frames = frames
        self._unread = UnreadWatch(clock, self._report, self._handle_read)
        self._accepted_at = clock.seconds()
        self._frame_began_at: float | None = None
        self._is_aborted = False
        link.transport.registerProducer(self._unread, True)
        guard.add(self)

    def handle_received(self, frames: int) -> None:
        """Follow a read that has completed a number of frames."""
        if frames or not self._frames.pending:
            self._frame_began_at = None
        if self._frames.pending and self._frame_began_at is None:
            self._frame_began_at = self._clock.seconds()
        self._report()

    def handle_sent(self, size: int) -> None:
        """Count bytes that were sent, if the peer does not read."""
        if self._unread.is_unread:
            self._unread.add(size)
            self._report()

    def handle_lost(self) -> None:
        """Stop watching the link."""
        self._guard.remove(self)

    def create_claim(self) -> Claim:
        """Return what the link holds now."""
        phase = Phase.running
        since = self._accepted_at
        if self._is_aborted:
            phase = Phase.closing
        elif self._unread.is_unread:
            phase = Phase.sending
            since = self._unread.since
        elif self._frame_began_at is not None:
            phase = Phase.receiving
            since = self._frame_began_at
        elif not self._link.is_open:
            phase = Phase.idle
        return Claim(
            owner=self,
            rank=self.rank,
            phase=phase,
            since=since,
            held_bytes=self.held_bytes,
            has_served=self._link.is_open,
        )

    def check_deadlines(self, now: float) -> None:
        """Abort the link if its peer is too slow."""
        cause = self._find_overdue(self.create_claim(), now)
        if cause is not None:
            self.yield_to_others(cause)

    def yield_to_others(self, cause: RejectionCause) -> None:
        """Abort the link."""
        self._is_aborted = True
        self._guard.record(cause, self.rank)
        self._link.abort(f'limit for clients: {cause.value}')

    def _find_overdue(self, claim: Claim, now: float) -> RejectionCause | None:
        age_seconds = now - claim.since
        if claim.phase is Phase.sending:
            is_overdue = client_deadlines.is_read_overdue(
                self._unread.unread_bytes, age_seconds
            )
            return RejectionCause.unread if is_overdue else None
        if claim.phase is Phase.receiving:
            is_overdue = client_deadlines.is_below_rate(
                len(self._frames.pending),
                age_seconds,
                client_deadlines.MIN_FRAME_BYTES_PER_SECOND,
            )
            return RejectionCause.frame_rate if is_overdue else None
        is_overdue = age_seconds > client_deadlines.HELLO_TIMEOUT_SECONDS
        if claim.phase is Phase.idle and is_overdue:
            return RejectionCause.head_timeout
        return None

    def _report(self) -> None:
        # A busy link may never be quite empty; what its peer has read of what
        # was sent meanwhile is not held.
        unread_bytes = min(
            self._unread.unread_bytes, count_unsent_bytes(self._link.transport)
        )
        held_bytes = len(self._frames.pending) + unread_bytes
        self._guard.report_change(self, held_bytes)

    def _handle_read(self) -> None:
        self._report()
        transport = self._link.transport
        if transport.disconnecting:
            # A connection that is being closed waits for its producer.
            transport.unregisterProducer()
