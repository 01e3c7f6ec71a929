"""One attempt at a request: a stream to one agent."""

from typing import Protocol, final

from wasabiturn.connection.link import Link
from wasabiturn.connection.streams import Stream
from wasabiturn.messages.codec import CodecError, unpack
from wasabiturn.messages.kinds import Method
from wasabiturn.messages.session import RequestHead, ResponseHead
from wasabiturn.request.routing import Candidate


class AttemptOwner(Protocol):
    """Callbacks from an attempt to the exchange that created it."""

    def attempt_answered(self, attempt: 'Attempt', head: ResponseHead) -> None:
        """Handle the head of the agent's answer, or its refusal."""

    def attempt_data(self, attempt: 'Attempt', chunk: bytes) -> None:
        """Handle bytes of the body.

        Call ``attempt.consumed`` once they are processed, to let the agent
        send more.
        """

    def attempt_ended(self, attempt: 'Attempt') -> None:
        """Handle the end of a complete answer."""

    def attempt_lost(self, attempt: 'Attempt', reason: str) -> None:
        """Handle the loss of the stream before the answer was complete."""

    def attempt_writable(self, attempt: 'Attempt') -> None:
        """Resume sending the request's body."""


@final
class Attempt:
    """Sends a request on a stream and receives the answer."""

    def __init__(
        self,
        number: int,
        candidate: Candidate,
        owner: AttemptOwner,
        started: float,
        *,
        is_suspect: bool = False,
    ) -> None:
        """Create an attempt; ``open`` sends it."""
        self.number = number
        # Whether a backend server crashed under an earlier attempt.
        self.is_suspect = is_suspect
        self.candidate = candidate
        self.started = started
        # Whether the agent may have received the request.
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
        """Allow the agent to send ``amount`` more bytes."""
        if self._stream is not None:
            self._stream.consumed(amount)

    def cancel(self, reason: str) -> None:
        """Reset the stream; the owner gets no more callbacks."""
        self._closed = True
        if self._stream is not None:
            self._stream.reset(reason)

    def data_received(self, chunk: bytes) -> None:
        """Handle the answer's head, then bytes of its body."""
        if self._closed:
            return
        if self._head is not None:
            self._owner.attempt_data(self, chunk)
            return
        try:
            self._head = unpack(ResponseHead, chunk)
        except CodecError as error:
            self._fail(str(error))
            return
        self.consumed(len(chunk))
        self._owner.attempt_answered(self, self._head)

    def end_received(self) -> None:
        """Handle the end of the answer."""
        if self._closed:
            return
        if self._head is None:
            self._fail('agent ended the stream without an answer')
            return
        self._closed = True
        self._owner.attempt_ended(self)

    def reset_received(self, reason: str) -> None:
        """Handle a stream that the agent reset or that was lost."""
        if not self._closed:
            self._closed = True
            self._owner.attempt_lost(self, reason)

    def writable(self) -> None:
        """Handle new send credit from the agent."""
        self.writable_now = True
        if not self._closed:
            self._owner.attempt_writable(self)

    def _fail(self, reason: str) -> None:
        self.cancel(reason)
        self._owner.attempt_lost(self, reason)
