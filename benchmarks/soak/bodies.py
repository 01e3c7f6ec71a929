"""Bodies of the callers' requests."""

from typing import Any, final

from twisted.internet.defer import Deferred, succeed
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

BODY_REPEATS = 20


@final
@implementer(IBodyProducer)
class BytesProducer:
    """Sends bytes that are already in memory."""

    def __init__(self, body: bytes) -> None:
        """Create the producer of ``body``."""
        self.body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Deferred[None]:
        """Write the whole body."""
        consumer.write(self.body)
        return succeed(None)

    def pauseProducing(self) -> None:
        """Do nothing: all was written."""

    def resumeProducing(self) -> None:
        """Do nothing: all was written."""

    def stopProducing(self) -> None:
        """Do nothing: all was written."""


def create_producer(request_id: str, method: bytes) -> BytesProducer | None:
    """Create the body of a request; ``GET`` has none."""
    if method == b'GET':
        return None
    return BytesProducer((request_id * BODY_REPEATS).encode())
