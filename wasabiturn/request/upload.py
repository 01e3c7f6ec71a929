"""Body of a request on its way to the backend server."""

from collections.abc import Callable
from typing import Any, final

from twisted.internet.defer import Deferred
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer
from zope.interface import implementer

from wasabiturn.messages.session import RequestHead
from wasabiturn.request.backend_messages import (
    RequestFormError,
    declared_length,
)


@implementer(IBodyProducer)
@final
class Upload:
    """Producer of a body that may still be arriving.

    ``consumed`` is called with the number of bytes handed on, so that the
    sender may send as many again.
    """

    def __init__(
        self,
        length: int | None,
        consumed: Callable[[int], None],
    ) -> None:
        """Create a producer of ``length`` bytes, or of any number."""
        self.length = UNKNOWN_LENGTH if length is None else length
        self.is_complete = False
        self._consumed = consumed
        self._chunks: list[bytes] = []
        self._consumer: Any = None
        self._paused = False
        self._done: Deferred[None] = Deferred()

    def feed(self, chunk: bytes) -> None:
        """Take bytes from the sender."""
        self._chunks.append(chunk)
        self._flush()

    def finish(self) -> None:
        """Learn that the sender has sent everything."""
        self.is_complete = True
        self._flush()

    def startProducing(self, consumer: Any) -> Deferred[None]:
        """Begin to write; fires once the body is written."""
        self._consumer = consumer
        self._flush()
        return self._done

    def pauseProducing(self) -> None:
        """Hold bytes back, and with them the credit of the sender."""
        self._paused = True

    def resumeProducing(self) -> None:
        """Write on."""
        self._paused = False
        self._flush()

    def stopProducing(self) -> None:
        """Drop what is left."""
        self._consumer = None
        self._chunks.clear()

    def _flush(self) -> None:
        while self._consumer is not None and not self._paused and self._chunks:
            chunk = self._chunks.pop(0)
            self._consumer.write(chunk)
            self._consumed(len(chunk))
        if self._consumer is not None and self.is_complete and not self._chunks:
            self._consumer = None
            self._done.callback(None)


@final
class RequestBody:
    """Body of a request: gathered until it is sent, passed on from then."""

    def __init__(self, consumed: Callable[[int], None]) -> None:
        """Create an empty body; ``consumed`` grants the sender credit."""
        self.size = 0
        self.is_complete = False
        self._consumed = consumed
        self._gathered: list[bytes] = []
        self._upload: Upload | None = None

    def feed(self, chunk: bytes) -> None:
        """Take bytes of the body."""
        self.size += len(chunk)
        if self._upload is None:
            self._gathered.append(chunk)
        else:
            self._upload.feed(chunk)

    def finish(self) -> None:
        """Learn that the body is whole."""
        self.is_complete = True
        if self._upload is not None:
            self._upload.finish()

    def prepare(self, head: RequestHead) -> Upload | None:
        """Return the producer to send; none for an empty body.

        Raises:
            RequestFormError: the size differs from the declared length.
        """
        length = declared_length(head)
        if self.is_complete:
            if length not in {None, self.size}:
                raise RequestFormError('body differs from its Content-Length')
            length = self.size
        if length == 0:
            return None
        self._upload = Upload(length, self._consumed)
        for chunk in self._gathered:
            self._upload.feed(chunk)
        self._gathered.clear()
        if self.is_complete:
            self._upload.finish()
        return self._upload
