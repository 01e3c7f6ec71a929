"""One attempt of a request: a stream to one agent."""

from typing import Protocol, final

from wasabiturn.connection.link import Link
from wasabiturn.connection.streams import Stream
from wasabiturn.messages.codec import CodecError, unpack
from wasabiturn.messages.kinds import Method
from wasabiturn.messages.session import RequestHead, ResponseHead
from wasabiturn.request.routing import Candidate


class AttemptOwner(Protocol):
    """What an attempt tells the exchange that made it."""

    def attempt_answered(self, attempt: 'Attempt', head: ResponseHead) -> None:
        """Take the head of the agent's answer, or its refusal."""

    def attempt_data(self, attempt: 'Attempt', chunk: bytes) -> None:
        """Take bytes of the body; ``attempt.consumed`` grants more."""

    def attempt_ended(self, attempt: 'Attempt') -> None:
        """Learn that the answer is whole."""

    def attempt_lost(self, attempt: 'Attempt', reason: str) -> None:
        """Learn that no more will come."""

    def attempt_writable(self, attempt: 'Attempt') -> None:
        """Learn that the agent takes more of the request's body."""


@final
class Attempt:
    """Receiver of one stream.

    ``sent`` tells whether the agent may have got the request.
    """

    def __init__(
        self,
        number: int,
        candidate: Candidate,
        owner: AttemptOwner,
        started: float,
    ) -> None:
        """Create an attempt that ``open`` sends."""
        self.number = number
        self.candidate = candidate
        self.started = started
        self.sent = False
        self.writable_now = True
        self._owner = owner
        self._head: ResponseHead | None = None
        self._stream: Stream | None = None
        self._closed = False

    def open(self, link: Link, head: RequestHead) -> None:
        """Send the head of the request on ``link``."""
        self.sent = link.is_open
        self._stream = link.open_stream(Method.serve, head, self)

    def write(self, chunk: bytes) -> None:
        """Send the next bytes of the request's body."""
        if self._stream is not None:
            self.writable_now = self._stream.write(chunk)

    def end(self) -> None:
        """Send the end of the request's body."""
        if self._stream is not None:
            self._stream.end()

    def consumed(self, amount: int) -> None:
        """Let the agent send ``amount`` more bytes."""
        if self._stream is not None:
            self._stream.consumed(amount)

    def cancel(self, reason: str) -> None:
        """Reset the stream; the owner hears no more of it."""
        self._closed = True
        if self._stream is not None:
            self._stream.reset(reason)

    def data_received(self, chunk: bytes) -> None:
        """Take the head, then bytes of the body."""
        if self._closed:
            return
        if self._head is not None:
            self._owner.attempt_data(self, chunk)
            return
        try:
            self._head = unpack(ResponseHead, chunk)
        except CodecError as error:
            self._lose(str(error))
            return
        self.consumed(len(chunk))
        self._owner.attempt_answered(self, self._head)

    def end_received(self) -> None:
        """Take the end of the answer."""
        if self._closed:
            return
        if self._head is None:
            self._lose('agent ended the stream without an answer')
            return
        self._closed = True
        self._owner.attempt_ended(self)

    def reset_received(self, reason: str) -> None:
        """Take an early end."""
        if not self._closed:
            self._closed = True
            self._owner.attempt_lost(self, reason)

    def writable(self) -> None:
        """Go on with the request's body."""
        self.writable_now = True
        if not self._closed:
            self._owner.attempt_writable(self)

    def _lose(self, reason: str) -> None:
        self.cancel(reason)
        self._owner.attempt_lost(self, reason)
