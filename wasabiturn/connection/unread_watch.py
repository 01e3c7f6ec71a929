"""Watches whether a peer reads what is sent to it."""

import sys
from collections.abc import Callable
from typing import Any, final

from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer


@final
@implementer(IPushProducer)
class UnreadWatch:
    """Producer of a transport, which tells when its buffer is full or empty."""

    def __init__(
        self,
        clock: Any,
        on_unread: Callable[[], None],
        on_read: Callable[[], None],
    ) -> None:
        """Create the watch of one connection; ``clock`` is the reactor."""
        self.is_unread = False
        # Bytes that were written since the buffer was full.
        self.unread_bytes = 0
        self.since = 0.0
        self._clock = clock
        self._on_unread = on_unread
        self._on_read = on_read

    def add(self, size: int) -> None:
        """Count bytes that were written, if the peer does not read."""
        if self.is_unread:
            self.unread_bytes += size

    def pauseProducing(self) -> None:
        """Record that the buffer is full."""
        self.is_unread = True
        self.since = self._clock.seconds()
        self._on_unread()

    def resumeProducing(self) -> None:
        """Record that the peer has read everything."""
        self.is_unread = False
        self.unread_bytes = 0
        self._on_read()

    def stopProducing(self) -> None:
        """Do nothing: the connection was lost."""


def is_clogged(transport: Any, max_bytes: int) -> bool:
    """Return whether a transport keeps more than ``max_bytes`` unsent."""
    return max_bytes < count_unsent_bytes(transport) < sys.maxsize


def count_unsent_bytes(transport: Any) -> int:
    """Return how much a transport keeps that the system has not taken.

    It is the largest amount for a transport that does not tell.
    """
    buffered = getattr(transport, 'dataBuffer', None)
    if buffered is None:
        return sys.maxsize
    # Twisted joins what is written later to the buffer as that empties.
    later_bytes: int = getattr(transport, '_tempDataLen', 0)
    return len(buffered) - int(transport.offset) + later_bytes
