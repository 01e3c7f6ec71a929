"""Producer of short HTTP request bodies."""

from typing import Any, final

from twisted.internet.defer import Deferred
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer


@implementer(IBodyProducer)
@final
class BytesBodyProducer:
    """Request body that is written in one piece."""

    def __init__(self, body: bytes) -> None:
        """Create the producer of ``body``."""
        self.length = len(body)
        self._body = body

    def startProducing(self, consumer: Any) -> Deferred[None]:
        """Write the body."""
        consumer.write(self._body)
        done: Deferred[None] = Deferred()
        done.callback(None)
        return done

    def pauseProducing(self) -> None:
        """Do nothing: the body is written at once."""

    def resumeProducing(self) -> None:
        """Do nothing: the body is written at once."""

    def stopProducing(self) -> None:
        """Do nothing: the body is written at once."""
