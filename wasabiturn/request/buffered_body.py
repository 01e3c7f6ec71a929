"""Body of a caller's request, held while it may be sent again."""

from typing import final

import attrs

MAX_HELD_BYTES = 65536


@final
@attrs.define
class BufferedBody:
    """Chunks received so far; dropped once they exceed ``max_held_bytes``."""

    max_bytes: int
    max_buffered_bytes: int = MAX_HELD_BYTES
    chunks: list[bytes] = attrs.field(factory=list)
    length: int = 0
    complete: bool = False
    repeatable: bool = True

    def is_over_limit(self) -> bool:
        """Tell whether the body is longer than callers may send."""
        return self.length > self.max_bytes

    def add(self, chunk: bytes) -> None:
        """Take the next chunk."""
        self.length += len(chunk)
        if self.length > self.max_buffered_bytes:
            self.repeatable = False
            self.chunks.clear()
        else:
            self.chunks.append(chunk)
