"""Request bodies of HTTP clients."""

from typing import Any, final

from twisted.internet.defer import Deferred, succeed
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

BODY_REPEATS = 20


@final
@implementer(IBodyProducer)
class BytesProducer:
    """Body producer of bytes that are already in memory."""

    def __init__(self, body: bytes) -> None:
        """Create a producer of ``body``."""
        self.body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Deferred[None]:
        """Write the whole body."""
        consumer.write(self.body)
        return succeed(None)

    def pauseProducing(self) -> None:
        """Do nothing: the whole body was written at once."""

    def resumeProducing(self) -> None:
        """Do nothing: the whole body was written at once."""

    def stopProducing(self) -> None:
        """Do nothing: the whole body was written at once."""


def create_producer(request_id: str, method: bytes) -> BytesProducer | None:
    """Return the body of a caller's request, or ``None`` for ``GET``."""
    if method == b'GET':
        return None
    return BytesProducer((request_id * BODY_REPEATS).encode())
