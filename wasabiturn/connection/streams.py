"""Byte streams on a link, with credit-based flow control."""

from collections.abc import Callable
from typing import Any, Protocol, final

import attrs

from wasabiturn.messages.codec import pack, unpack
from wasabiturn.messages.kinds import FrameKind
from wasabiturn.messages.link import Credit, Frame

STREAM_WINDOW_BYTES = 262144
CHUNK_BYTES = 65536
# Credit is granted once this much has been consumed, not for each chunk.
CREDIT_STEP_BYTES = STREAM_WINDOW_BYTES // 4


class StreamReceiver(Protocol):
    """Callbacks of a stream to the code that uses it."""

    def data_received(self, chunk: bytes) -> None:
        """Handle received bytes; call ``stream.consumed`` once used."""

    def end_received(self) -> None:
        """Handle the end of the bytes of the peer."""

    def reset_received(self, reason: str) -> None:
        """Handle a reset of the stream; no other callback follows."""

    def writable(self) -> None:
        """Resume writing: the peer has granted credit after it ran out."""


class FrameSender(Protocol):
    """Interface of a link that its streams use."""

    def send_frame(
        self,
        kind: FrameKind,
        exchange: int,
        method: int,
        body: bytes,
    ) -> None:
        """Send one frame."""

    def remove_stream(self, exchange: int) -> None:
        """Remove the stream from the table of the link."""


@final
@attrs.define(eq=False)
class Stream:
    """Full-duplex stream; each side ends its own direction or resets both."""

    link: FrameSender
    exchange: int
    method: int
    receiver: StreamReceiver | None = None
    credit: int = STREAM_WINDOW_BYTES
    sent_end: bool = False
    received_end: bool = False
    closed: bool = False
    _awaits_credit: bool = False
    # Bytes consumed for which no credit has been granted yet.
    _ungranted: int = 0
    # Deliveries that wait until a receiver is attached.
    _undelivered: list[Callable[[StreamReceiver], Any]] = attrs.field(
        factory=list
    )

    def attach(self, receiver: StreamReceiver) -> None:
        """Deliver to ``receiver``, starting with what was received before."""
        self.receiver = receiver
        undelivered = self._undelivered
        self._undelivered = []
        for deliver in undelivered:
            deliver(receiver)

    def write(self, chunk: bytes) -> bool:
        """Send ``chunk``; false means wait for ``writable`` before the next."""
        if self.closed or self.sent_end:
            return False
        for start in range(0, len(chunk), CHUNK_BYTES):
            part = chunk[start : start + CHUNK_BYTES]
            self._send(FrameKind.data, part)
        self.credit -= len(chunk)
        self._awaits_credit = self.credit <= 0
        return not self._awaits_credit

    def end(self) -> None:
        """End the direction from this side to the peer."""
        if self.closed or self.sent_end:
            return
        self.sent_end = True
        self._send(FrameKind.end, b'')
        self._close_when_ended()

    def reset(self, reason: str) -> None:
        """Reset both directions."""
        if self.closed:
            return
        self._send(FrameKind.reset, reason.encode())
        self._close()

    def consumed(self, amount: int) -> None:
        """Count ``amount`` bytes as consumed.

        Credit for them is sent to the peer once they add up to
        ``CREDIT_STEP_BYTES``.
        """
        self._ungranted += amount
        if (
            self._ungranted < CREDIT_STEP_BYTES
            or self.closed
            or self.received_end
        ):
            return
        granted = Credit(amount=self._ungranted)
        self._ungranted = 0
        self._send(FrameKind.credit, pack(granted))

    def handle_frame(self, frame: Frame) -> None:
        """Handle a frame that the peer sent on this stream."""
        if frame.kind == FrameKind.data:
            self._handle_data(frame.body)
        elif frame.kind == FrameKind.end:
            self._handle_end()
        elif frame.kind == FrameKind.credit:
            self._handle_credit(unpack(Credit, frame.body).amount)
        else:
            self.handle_reset(frame.body.decode(errors='replace'))

    def _handle_end(self) -> None:
        self.received_end = True
        self._deliver(lambda receiver: receiver.end_received())
        self._close_when_ended()

    def handle_reset(self, reason: str) -> None:
        """Close the stream and deliver a reset, also when the link is lost."""
        if self.closed:
            return
        self._close()
        self._deliver(lambda receiver: receiver.reset_received(reason))

    def _handle_credit(self, amount: int) -> None:
        self.credit += amount
        if self._awaits_credit and self.credit > 0:
            self._awaits_credit = False
            self._deliver(lambda receiver: receiver.writable())

    def _handle_data(self, chunk: bytes) -> None:
        if self.receiver is None:
            self._undelivered.append(
                lambda receiver: receiver.data_received(chunk)
            )
        else:
            self.receiver.data_received(chunk)

    def _deliver(self, deliver: Callable[[StreamReceiver], Any]) -> None:
        if self.receiver is None:
            self._undelivered.append(deliver)
        else:
            deliver(self.receiver)

    def _send(self, kind: FrameKind, body: bytes) -> None:
        self.link.send_frame(kind, self.exchange, self.method, body)

    def _close_when_ended(self) -> None:
        if self.sent_end and self.received_end:
            self._close()

    def _close(self) -> None:
        self.closed = True
        self.link.remove_stream(self.exchange)
