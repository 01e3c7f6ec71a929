"""Memory that an entry sets aside for requests on their way.

The body of one that is streamed is never held as a whole, but its first part is
kept while the request may be sent again, and an agent that is slow leaves a
window of it unsent.
"""

from typing import final

import attrs

from wasabiturn.connection.streams import STREAM_WINDOW_BYTES
from wasabiturn.process.daemon import Context
from wasabiturn.process.guards import create_instance_bounds


@final
@attrs.define
class MemoryRoom:
    """Room for several things, each of which reserves what it may take."""

    max_bytes: int
    reserved_bytes: int = 0

    def has_room(self, size: int) -> bool:
        """Return whether ``size`` more fits; a single thing always does."""
        if not size or not self.reserved_bytes:
            return True
        return self.reserved_bytes + size <= self.max_bytes

    def reserve(self, size: int) -> None:
        """Set room aside."""
        self.reserved_bytes += size

    def release(self, size: int) -> None:
        """Give room back."""
        self.reserved_bytes -= size


def create_body_room(context: Context) -> MemoryRoom:
    """Create the room of an entry on this instance."""
    return MemoryRoom(create_instance_bounds(context).budget_bytes)


def find_body_bytes(length: int | None, kept_bytes: int) -> int:
    """Return the most that is held of a body at a time.

    ``length`` is ``None`` if it is not known; up to ``kept_bytes`` are kept to
    be sent again.
    """
    most = kept_bytes + STREAM_WINDOW_BYTES
    return most if length is None else min(length, most)
