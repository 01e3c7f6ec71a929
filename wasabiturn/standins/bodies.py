"""HTTP bodies that the stand-ins send."""

from typing import Any, final

from twisted.internet.defer import Deferred, succeed
from twisted.internet.interfaces import IPushProducer
from twisted.web.iweb import IBodyProducer
from twisted.web.server import Request
from zope.interface import implementer

CHUNK_BYTES = 65536


@implementer(IBodyProducer)
@final
class FixedBody:
    """Request body that is held in memory."""

    def __init__(self, content: bytes) -> None:
        """Create a body that consists of ``content``."""
        self.length = len(content)
        self._content = content

    def startProducing(self, consumer: Any) -> Deferred[None]:
        """Write the whole body at once."""
        consumer.write(self._content)
        return succeed(None)

    def pauseProducing(self) -> None:
        """Do nothing; the whole body has been written."""

    def resumeProducing(self) -> None:
        """Do nothing; the whole body has been written."""

    def stopProducing(self) -> None:
        """Do nothing; the whole body has been written."""


@implementer(IPushProducer)
@final
class LargeResponse:
    """Response of a given size, written as fast as the client reads it."""

    def __init__(self, request: Request, size: int) -> None:
        """Create a response of ``size`` bytes to ``request``."""
        self._request = request
        self._remaining_bytes = size
        self._paused = False
        request.setHeader(b'content-length', str(size).encode())

    def start(self) -> None:
        """Start writing."""
        self._request.registerProducer(self, True)
        self.resumeProducing()

    def pauseProducing(self) -> None:
        """Stop writing until the client has read more."""
        self._paused = True

    def resumeProducing(self) -> None:
        """Write until the transport asks for a pause."""
        self._paused = False
        while self._remaining_bytes and not self._paused:
            size = min(self._remaining_bytes, CHUNK_BYTES)
            self._remaining_bytes -= size
            self._request.write(bytes(size))
        if not self._remaining_bytes and not self._paused:
            self._finish()

    def stopProducing(self) -> None:
        """Discard the remaining bytes; the client has disconnected."""
        self._paused = True
        self._remaining_bytes = 0

    def _finish(self) -> None:
        self._paused = True
        self._request.unregisterProducer()
        self._request.finish()
