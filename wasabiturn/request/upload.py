"""Upload of a request body to the backend server."""

from collections.abc import Callable
from typing import Any, final

from twisted.internet.defer import Deferred
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer
from zope.interface import implementer

from wasabiturn.messages.session import RequestHead
from wasabiturn.request.backend_messages import (
    InvalidRequestError,
    parse_content_length,
)


@implementer(IBodyProducer)
@final
class Upload:
    """Body producer for a body that may still be arriving.

    ``consumed`` is called with the number of bytes written, which grants the
    sender credit for as many more.
    """

    def __init__(
        self,
        length: int | None,
        consumed: Callable[[int], None],
    ) -> None:
        """Create a producer; ``length`` is ``None`` if it is unknown."""
        self.length = UNKNOWN_LENGTH if length is None else length
        self.is_complete = False
        self._consumed = consumed
        self._chunks: list[bytes] = []
        self._consumer: Any = None
        self._paused = False
        self._done: Deferred[None] = Deferred()

    def feed(self, chunk: bytes) -> None:
        """Add a chunk received from the sender."""
        self._chunks.append(chunk)
        self._flush()

    def finish(self) -> None:
        """Mark the body as complete."""
        self.is_complete = True
        self._flush()

    def startProducing(self, consumer: Any) -> Deferred[None]:
        """Start writing; the result fires once the body is written."""
        self._consumer = consumer
        self._flush()
        return self._done

    def pauseProducing(self) -> None:
        """Stop writing, which also stops granting the sender credit."""
        self._paused = True

    def resumeProducing(self) -> None:
        """Resume writing."""
        self._paused = False
        self._flush()

    def stopProducing(self) -> None:
        """Stop writing and discard the remaining chunks."""
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
    """Body of a request, buffered until sending starts, then forwarded."""

    def __init__(self, consumed: Callable[[int], None]) -> None:
        """Create an empty body; ``consumed`` grants credit to the sender."""
        self.size = 0
        self.is_complete = False
        self._consumed = consumed
        self._gathered: list[bytes] = []
        self._upload: Upload | None = None

    def feed(self, chunk: bytes) -> None:
        """Add a chunk of the body."""
        self.size += len(chunk)
        if self._upload is None:
            self._gathered.append(chunk)
        else:
            self._upload.feed(chunk)

    def finish(self) -> None:
        """Record that the whole body has arrived."""
        self.is_complete = True
        if self._upload is not None:
            self._upload.finish()

    def prepare(self, head: RequestHead) -> Upload | None:
        """Return the producer of the body, ``None`` for an empty body.

        Raises:
            InvalidRequestError: the size differs from ``Content-Length``.
        """
        length = parse_content_length(head)
        if self.is_complete:
            if length not in {None, self.size}:
                raise InvalidRequestError(
                    'body differs from its Content-Length'
                )
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
