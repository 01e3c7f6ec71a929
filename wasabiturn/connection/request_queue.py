"""Whole requests of one connection that wait, and the memory that they take."""

from collections import deque
from typing import final

import attrs

from wasabiturn.connection.http_messages import HttpRequest

# A client that sends more requests without reading responses must wait.
MAX_QUEUED_REQUESTS = 16
# Memory of a request beside its text, headers and body.
REQUEST_OVERHEAD_BYTES = 1024


@final
@attrs.define
class RequestQueue:
    """Requests in their order; the one that was taken is still counted."""

    kept_bytes: int = 0
    taken_bytes: int = 0
    waiting: deque[tuple[HttpRequest, int]] = attrs.field(factory=deque)

    def is_full(self) -> bool:
        """Return whether the client must wait."""
        return len(self.waiting) > MAX_QUEUED_REQUESTS

    def add(self, request: HttpRequest, message_bytes: int) -> None:
        """Add a request whose message took ``message_bytes``."""
        size = message_bytes + REQUEST_OVERHEAD_BYTES
        self.kept_bytes += size
        self.waiting.append((request, size))

    def count(self, message_bytes: int) -> None:
        """Count a request that is taken at once, until ``finish``."""
        self.taken_bytes = message_bytes + REQUEST_OVERHEAD_BYTES
        self.kept_bytes += self.taken_bytes

    def take(self) -> HttpRequest:
        """Return the first request; it counts until ``finish``."""
        request, size = self.waiting.popleft()
        self.taken_bytes = size
        return request

    def finish(self) -> None:
        """Stop counting the request that was taken."""
        self.kept_bytes -= self.taken_bytes
        self.taken_bytes = 0

    def clear(self) -> None:
        """Drop the requests that wait."""
        self.waiting.clear()
        self.kept_bytes = self.taken_bytes
