"""Pending calls of one link, and the error of a failed call."""

from typing import Any, TypeVar, final

import attrs
from twisted.internet.defer import Deferred

from wasabiturn.exceptions import ConnectionLayerError
from wasabiturn.messages.codec import unpack
from wasabiturn.messages.kinds import FailureCode, FrameKind
from wasabiturn.messages.link import Failure, Frame

MessageType = TypeVar('MessageType')


class CallError(ConnectionLayerError):
    """A call got no reply, or the peer replied with a failure.

    After ``FailureCode.closed`` or ``FailureCode.timeout`` it is unknown
    whether the peer carried out the call.
    """

    def __init__(self, code: FailureCode, text: str, leader: str = '') -> None:
        """Create the error; ``leader`` is the leader's name, if known."""
        super().__init__(f'{code.name}: {text}')
        self.code = code
        self.text = text
        self.leader = leader


@final
@attrs.define
class _PendingCall:
    reply_class: type
    reply_deferred: Deferred[Any]
    timer: Any


@final
@attrs.define
class CallTable:
    """Pending calls of one link, by exchange number."""

    clock: Any
    pending_by_exchange: dict[int, _PendingCall] = attrs.field(factory=dict)

    def start(
        self,
        exchange: int,
        reply_class: type[MessageType],
        timeout_seconds: float,
    ) -> Deferred[MessageType]:
        """Add a call that fails after ``timeout_seconds`` without a reply."""
        reply_deferred: Deferred[MessageType] = Deferred()
        self.pending_by_exchange[exchange] = _PendingCall(
            reply_class=reply_class,
            reply_deferred=reply_deferred,
            timer=self.clock.callLater(
                timeout_seconds,
                self._expire,
                exchange,
            ),
        )
        return reply_deferred

    def complete(self, frame: Frame) -> None:
        """Complete the call that ``frame`` replies to; drop a late reply.

        Raises:
            CodecError: the reply is malformed.
        """
        pending = self.pending_by_exchange.pop(frame.exchange, None)
        if pending is None:
            return
        pending.timer.cancel()
        if frame.kind == FrameKind.reply:
            pending.reply_deferred.callback(
                unpack(pending.reply_class, frame.body)
            )
            return
        failure = unpack(Failure, frame.body)
        error = CallError(failure.code, failure.text, failure.leader)
        pending.reply_deferred.errback(error)

    def fail_all(self) -> None:
        """Fail every pending call because the link was lost."""
        pending_calls = list(self.pending_by_exchange.values())
        self.pending_by_exchange.clear()
        for pending in pending_calls:
            pending.timer.cancel()
            error = CallError(FailureCode.closed, 'link was lost')
            pending.reply_deferred.errback(error)

    def _expire(self, exchange: int) -> None:
        pending = self.pending_by_exchange.pop(exchange, None)
        if pending is not None:
            error = CallError(FailureCode.timeout, 'no reply in time')
            pending.reply_deferred.errback(error)
