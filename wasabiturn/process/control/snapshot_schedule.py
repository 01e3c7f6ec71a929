"""When a member takes its next snapshot.

A snapshot lets the member compact its log, whose size must stay bounded in
entries, which a restart replays, and in bytes, which its disk and memory hold.
"""

from typing import final

import attrs

# Share of either period after which a snapshot that found no room is tried
# again.
_RETRY_DIVISOR = 8


@final
@attrs.define
class SnapshotSchedule:
    """Periods between snapshots, and where the newest one was taken.

    ``entry_period`` and ``byte_period`` are counted in the log.
    """

    entry_period: int
    byte_period: int
    _due_index: int = 0
    _due_bytes: int = 0

    def __attrs_post_init__(self) -> None:
        """Count the first periods from an empty log."""
        self.record_taken(index=0, appended_bytes=0)

    def is_due(self, applied_index: int, appended_bytes: int) -> bool:
        """Return whether one of the periods is over.

        ``appended_bytes`` counts all bytes that the log has ever received.
        """
        if appended_bytes >= self._due_bytes:
            return True
        return applied_index >= self._due_index

    def record_taken(self, index: int, appended_bytes: int) -> None:
        """Count both periods from a snapshot that ends at ``index``."""
        self._due_index = index + self.entry_period
        self._due_bytes = appended_bytes + self.byte_period

    def postpone(self, applied_index: int, appended_bytes: int) -> None:
        """Try again later, as the snapshot found no room."""
        self._due_index = applied_index + self.entry_period // _RETRY_DIVISOR
        self._due_bytes = appended_bytes + self.byte_period // _RETRY_DIVISOR
