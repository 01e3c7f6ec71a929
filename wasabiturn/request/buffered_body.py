"""Buffer for a request body, kept while the request may be sent again."""

from typing import final

import attrs

MAX_BUFFERED_BYTES = 65536


@final
@attrs.define
class BufferedBody:
    """Chunks of a request body received so far.

    The buffer is dropped once the body exceeds ``max_buffered_bytes``; the
    request then can no longer be sent again and is not ``repeatable``.
    """

    max_bytes: int
    max_buffered_bytes: int = MAX_BUFFERED_BYTES
    chunks: list[bytes] = attrs.field(factory=list)
    length: int = 0
    complete: bool = False
    repeatable: bool = True

    def is_over_limit(self) -> bool:
        """Return whether the body exceeds ``max_bytes``."""
        return self.length > self.max_bytes

    def add(self, chunk: bytes) -> None:
        """Add the next chunk."""
        self.length += len(chunk)
        if self.length > self.max_buffered_bytes:
            self.repeatable = False
            self.chunks.clear()
        else:
            self.chunks.append(chunk)
