"""Byte streams inside a link, with credit-based back-pressure."""

from collections.abc import Callable
from typing import Any, Protocol, final

import attrs

from wasabiturn.messages.codec import pack, unpack
from wasabiturn.messages.kinds import FrameKind
from wasabiturn.messages.link import Credit, Frame

STREAM_WINDOW_BYTES = 262144
CHUNK_BYTES = 65536
# Credit is granted in steps of this size, not for each chunk.
CREDIT_STEP_BYTES = STREAM_WINDOW_BYTES // 4


class StreamReceiver(Protocol):
    """What a stream delivers to the part that uses it."""

    def data_received(self, chunk: bytes) -> None:
        """Take the next bytes; call ``stream.consumed`` once used."""

    def end_received(self) -> None:
        """Learn that the peer has sent all its bytes."""

    def reset_received(self, reason: str) -> None:
        """Learn that the stream ended early; nothing follows."""

    def writable(self) -> None:
        """Learn that the peer has granted credit after a shortage."""


class FrameSender(Protocol):
    """The part of a link that a stream needs."""

    def send_frame(
        self,
        kind: FrameKind,
        exchange: int,
        method: int,
        body: bytes,
    ) -> None:
        """Send one frame."""

    def forget_stream(self, exchange: int) -> None:
        """Drop the stream from the link's table."""


@final
@attrs.define(eq=False)
class Stream:
    """One full-duplex stream; each side may end or reset it."""

    link: FrameSender
    exchange: int
    method: int
    receiver: StreamReceiver | None = None
    credit: int = STREAM_WINDOW_BYTES
    sent_end: bool = False
    got_end: bool = False
    closed: bool = False
    _starved: bool = False
    _used: int = 0
    _early: list[Callable[[StreamReceiver], Any]] = attrs.field(factory=list)

    def attach(self, receiver: StreamReceiver) -> None:
        """Deliver to ``receiver``, beginning with what came before it."""
        self.receiver = receiver
        early = self._early
        self._early = []
        for deliver in early:
            deliver(receiver)

    def write(self, chunk: bytes) -> bool:
        """Send ``chunk``; false means wait for ``writable`` before the next."""
        if self.closed or self.sent_end:
            return False
        for start in range(0, len(chunk), CHUNK_BYTES):
            part = chunk[start : start + CHUNK_BYTES]
            self._send(FrameKind.data, part)
        self.credit -= len(chunk)
        self._starved = self.credit <= 0
        return not self._starved

    def end(self) -> None:
        """Send the end of this side."""
        if self.closed or self.sent_end:
            return
        self.sent_end = True
        self._send(FrameKind.end, b'')
        self._forget_when_done()

    def reset(self, reason: str) -> None:
        """Abort both sides."""
        if self.closed:
            return
        self._send(FrameKind.reset, reason.encode())
        self._close()

    def consumed(self, amount: int) -> None:
        """Grant the peer credit for ``amount`` bytes that were used.

        The peer hears of it once ``CREDIT_STEP_BYTES`` have added up.
        """
        self._used += amount
        if self._used < CREDIT_STEP_BYTES or self.closed or self.got_end:
            return
        granted = Credit(amount=self._used)
        self._used = 0
        self._send(FrameKind.credit, pack(granted))

    def handle_frame(self, frame: Frame) -> None:
        """Take a frame that the peer sent on this stream."""
        if frame.kind == FrameKind.data:
            self._handle_data(frame.body)
        elif frame.kind == FrameKind.end:
            self._handle_end()
        elif frame.kind == FrameKind.credit:
            self._handle_credit(unpack(Credit, frame.body).amount)
        else:
            self.handle_reset(frame.body.decode(errors='replace'))

    def _handle_end(self) -> None:
        self.got_end = True
        self._deliver(lambda receiver: receiver.end_received())
        self._forget_when_done()

    def handle_reset(self, reason: str) -> None:
        """Deliver an early end; also called when the link is lost."""
        if self.closed:
            return
        self._close()
        self._deliver(lambda receiver: receiver.reset_received(reason))

    def _handle_credit(self, amount: int) -> None:
        self.credit += amount
        if self._starved and self.credit > 0:
            self._starved = False
            self._deliver(lambda receiver: receiver.writable())

    def _handle_data(self, chunk: bytes) -> None:
        if self.receiver is None:
            self._early.append(lambda receiver: receiver.data_received(chunk))
        else:
            self.receiver.data_received(chunk)

    def _deliver(self, deliver: Callable[[StreamReceiver], Any]) -> None:
        if self.receiver is None:
            self._early.append(deliver)
        else:
            deliver(self.receiver)

    def _send(self, kind: FrameKind, body: bytes) -> None:
        self.link.send_frame(kind, self.exchange, self.method, body)

    def _forget_when_done(self) -> None:
        if self.sent_end and self.got_end:
            self._close()

    def _close(self) -> None:
        self.closed = True
        self.link.forget_stream(self.exchange)
