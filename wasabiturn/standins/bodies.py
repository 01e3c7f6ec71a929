"""Bodies that the stand-ins send."""

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
    """Body of a request that is known whole."""

    def __init__(self, content: bytes) -> None:
        """Create the body ``content``."""
        self.length = len(content)
        self._content = content

    def startProducing(self, consumer: Any) -> Deferred[None]:
        """Write everything at once."""
        consumer.write(self._content)
        return succeed(None)

    def pauseProducing(self) -> None:
        """Everything is written already."""

    def resumeProducing(self) -> None:
        """Everything is written already."""

    def stopProducing(self) -> None:
        """Everything is written already."""


@implementer(IPushProducer)
@final
class LargeAnswer:
    """Answer of a fixed size, written as fast as the reader takes it."""

    def __init__(self, request: Request, size: int) -> None:
        """Create an answer of ``size`` bytes to ``request``."""
        self._request = request
        self._left = size
        self._paused = False
        request.setHeader(b'content-length', str(size).encode())

    def start(self) -> None:
        """Begin to write."""
        self._request.registerProducer(self, True)
        self.resumeProducing()

    def pauseProducing(self) -> None:
        """Wait for the reader."""
        self._paused = True

    def resumeProducing(self) -> None:
        """Write until the reader is behind."""
        self._paused = False
        while self._left and not self._paused:
            size = min(self._left, CHUNK_BYTES)
            self._left -= size
            self._request.write(bytes(size))
        if not self._left and not self._paused:
            self._finish()

    def stopProducing(self) -> None:
        """Drop what is left; the reader is gone."""
        self._paused = True
        self._left = 0

    def _finish(self) -> None:
        self._paused = True
        self._request.unregisterProducer()
        self._request.finish()
