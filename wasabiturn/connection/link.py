"""Link between two processes, multiplexed over one TCP connection.

Calls, notices and streams share the connection. Each side sends a heartbeat
when it has sent nothing else, and aborts the connection if it receives nothing
for ``SILENCE_LIMIT_SECONDS``.
"""

import itertools
from collections.abc import Callable
from typing import Any, TypeVar, cast, final

from twisted.internet.defer import Deferred, fail, maybeDeferred
from twisted.internet.protocol import Protocol
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure as TwistedFailure

from wasabiturn.connection.calls import CallError, CallTable
from wasabiturn.connection.client_guard import ClientGuard
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.frames import (
    MAX_FIRST_FRAME_BYTES,
    MAX_FRAME_BYTES,
    FrameBuffer,
    FrameError,
    encode_frame,
)
from wasabiturn.connection.link_client import LinkClient
from wasabiturn.connection.peer_clock import PeerClock, milliseconds_in
from wasabiturn.connection.streams import Stream, StreamReceiver
from wasabiturn.connection.unread_watch import is_clogged
from wasabiturn.messages.codec import CodecError, pack, unpack
from wasabiturn.messages.kinds import FailureCode, FrameKind, Method
from wasabiturn.messages.link import Failure, Frame, Hello
from wasabiturn.utils.logs import create_component_log
from wasabiturn.utils.tally_log import TallyLog

HEARTBEAT_INTERVAL_SECONDS = 0.5
SILENCE_LIMIT_SECONDS = 1.5
PROTOCOL_VERSION = 1
CLOGGED_LINK = 'the peer takes nothing of what was sent before'
EXPIRED_CALL = 'the call arrived after its sender had stopped waiting'

MessageType = TypeVar('MessageType')

_log = create_component_log('link')


@final
class Link(Protocol):
    """One side of a link; ``peer`` is the hello of the other side."""

    def __init__(
        self,
        dispatch: Dispatch,
        clock: Any,
        dialled: bool,
        guard: ClientGuard | None = None,
    ) -> None:
        """Create the side that dialled or the side that accepted.

        A ``guard`` bounds what the peer of an accepted link may take.
        """
        self.dispatch = dispatch
        self.peer = Hello()
        self.is_open = False
        self.on_open: list[Callable[[Link], None]] = []
        self.on_close: list[Callable[[Link], None]] = []
        self._clock = clock
        self._exchanges = itertools.count(1 if dialled else 2, 2)
        self._buffer = FrameBuffer(MAX_FIRST_FRAME_BYTES)
        self._guard = guard
        self._client: LinkClient | None = None
        self.calls = CallTable(clock=clock)
        self._peer_clock = PeerClock()
        self._unsent_log = TallyLog(_log, 'sends nothing to a peer', clock)
        self._streams_by_exchange: dict[int, Stream] = {}
        self.last_received = 0.0
        self._last_sent = 0.0
        self._handlers_by_kind: dict[int, Callable[[Frame], None]] = {
            FrameKind.hello: self._handle_hello,
            FrameKind.call: self._handle_call,
            FrameKind.notice: self._handle_call,
            FrameKind.reply: self.calls.complete,
            FrameKind.failure: self.calls.complete,
            FrameKind.open: self._handle_open,
            FrameKind.data: self._handle_stream_frame,
            FrameKind.end: self._handle_stream_frame,
            FrameKind.reset: self._handle_stream_frame,
            FrameKind.credit: self._handle_stream_frame,
        }
        self._liveness_loop = LoopingCall(self._check_liveness)
        self._liveness_loop.clock = clock

    def call(
        self,
        method: Method,
        message: Any,
        reply_class: type[MessageType],
        timeout_seconds: float,
    ) -> Deferred[MessageType]:
        """Send a call; the Deferred gets the reply or a ``CallError``.

        It is not sent, and fails as ``unavailable``, while the peer takes
        nothing of what was sent before.
        """
        if not self.is_open:
            return fail(CallError(FailureCode.closed, 'link is closed'))
        if self._is_clogged():
            return fail(CallError(FailureCode.unavailable, CLOGGED_LINK))
        exchange = next(self._exchanges)
        reply_deferred = self.calls.start(
            exchange, reply_class, timeout_seconds
        )
        expires_at = self._clock.seconds() + timeout_seconds
        self.send_frame(
            FrameKind.call,
            exchange,
            method,
            pack(message),
            expires_ms=self._peer_clock.read(expires_at),
        )
        return reply_deferred

    def notify(self, method: Method, message: Any) -> None:
        """Send a message without reply; it may be lost with the link.

        It is dropped while the peer takes nothing of what was sent before.
        """
        if self.is_open and not self._is_clogged():
            self.send_frame(FrameKind.notice, 0, method, pack(message))

    def open_stream(
        self,
        method: Method,
        head: Any,
        receiver: StreamReceiver,
    ) -> Stream:
        """Open a stream; it is reset at once if the link is closed."""
        exchange = next(self._exchanges)
        stream = Stream(link=self, exchange=exchange, method=method)
        stream.attach(receiver)
        if not self.is_open:
            stream.handle_reset('link is closed')
            return stream
        self._streams_by_exchange[exchange] = stream
        self.send_frame(FrameKind.open, exchange, method, pack(head))
        return stream

    def close(self) -> None:
        """Close once everything written so far has been sent."""
        if self.transport is not None:
            cast(Any, self.transport).loseConnection()

    def abort(self, reason: str) -> None:
        """Abort the connection; all calls and streams on it fail."""
        if self.transport is not None:
            _log.event(
                'aborted the connection', peer=self.peer.name, reason=reason
            )
            cast(Any, self.transport).abortConnection()

    def send_frame(
        self,
        kind: FrameKind,
        exchange: int,
        method: int,
        body: bytes,
        expires_ms: int = 0,
    ) -> None:
        """Send one frame; ``expires_ms`` is on the peer's clock."""
        if self.transport is None:
            return
        self._last_sent = self._clock.seconds()
        frame = Frame(
            kind=kind,
            exchange=exchange,
            method=method,
            body=body,
            revision=self.dispatch.revision(),
            sent_ms=milliseconds_in(self._last_sent),
            expires_ms=expires_ms,
        )
        encoded = encode_frame(pack(frame))
        cast(Any, self.transport).write(encoded)
        if self._client is not None:
            self._client.handle_sent(len(encoded))

    def remove_stream(self, exchange: int) -> None:
        """Remove a stream that has ended."""
        self._streams_by_exchange.pop(exchange, None)

    def connectionMade(self) -> None:
        """Send the hello and start the heartbeat."""
        transport = cast(Any, self.transport)
        if hasattr(transport, 'setTcpNoDelay'):
            transport.setTcpNoDelay(True)
        if self._guard is not None:
            self._client = LinkClient(
                self._guard, self._clock, self, self._buffer
            )
        self.last_received = self._clock.seconds()
        self._liveness_loop.start(HEARTBEAT_INTERVAL_SECONDS, now=False)
        body = pack(self.dispatch.hello)
        self.send_frame(FrameKind.hello, 0, Method.none, body)

    def dataReceived(self, data: bytes) -> None:
        """Handle the frames in the received bytes."""
        self.last_received = self._clock.seconds()
        frames = 0
        try:
            for payload in self._buffer.feed(data):
                frames += 1
                self._handle_frame(unpack(Frame, payload))
        except (FrameError, CodecError) as error:
            self.abort(f'malformed frame: {error}')
        if self._client is not None:
            self._client.handle_received(frames)

    def connectionLost(self, reason: TwistedFailure | None = None) -> None:
        """Fail all calls and streams of the link."""
        was_open = self.is_open
        self.is_open = False
        if self._client is not None:
            self._client.handle_lost()
            self._client = None
        if self._liveness_loop.running:
            self._liveness_loop.stop()
        self.calls.fail_all()
        for stream in list(self._streams_by_exchange.values()):
            stream.handle_reset('link was lost')
        if was_open:
            for callback in (*self.on_close, *self.dispatch.on_close):
                callback(self)

    def _is_clogged(self) -> bool:
        """Return whether the peer takes nothing of what was sent before."""
        if not is_clogged(self.transport, self.dispatch.max_unsent_bytes):
            return False
        self.dispatch.count_unsent()
        self._unsent_log.record(self.peer.name, peer=self.peer.name)
        return True

    def _check_liveness(self) -> None:
        now = self._clock.seconds()
        if now - self.last_received > SILENCE_LIMIT_SECONDS:
            self.abort('received nothing within the silence limit')
        elif now - self._last_sent >= HEARTBEAT_INTERVAL_SECONDS / 2:
            self.send_frame(FrameKind.heartbeat, 0, Method.none, b'')

    def _handle_frame(self, frame: Frame) -> None:
        self._peer_clock.record(frame.sent_ms, self.last_received)
        handler = self._handlers_by_kind.get(frame.kind)
        if handler is not None:
            handler(frame)

    def _handle_hello(self, frame: Frame) -> None:
        hello = unpack(Hello, frame.body)
        self.peer = hello
        if hello.protocol_version != PROTOCOL_VERSION:
            self.abort(f'unsupported protocol version {hello.protocol_version}')
            return
        self.is_open = True
        self._buffer.max_frame_bytes = MAX_FRAME_BYTES
        for callback in (*self.on_open, *self.dispatch.on_open):
            callback(self)

    def _handle_call(self, frame: Frame) -> None:
        route = self.dispatch.calls_by_method.get(frame.method)
        if route is None:
            self._reply_failure(
                frame,
                CallError(FailureCode.unknown_method, str(frame.method)),
            )
            return
        if route.drops_expired and _has_expired(frame, self._clock.seconds()):
            error = CallError(FailureCode.unavailable, EXPIRED_CALL)
            self._reply_failure(frame, error)
            return
        message: Any = unpack(route.message_class, frame.body)
        handled = maybeDeferred(route.handler, self, message)
        if frame.kind == FrameKind.notice:
            handled.addErrback(_log_failure, frame.method)
            return
        handled.addCallbacks(
            lambda reply: self._reply(frame, reply),
            lambda failure: self._reply_failure(frame, failure.value),
        )
        handled.addErrback(_log_failure, frame.method)

    def _reply(self, frame: Frame, reply: Any) -> None:
        body = pack(reply)
        self.send_frame(FrameKind.reply, frame.exchange, frame.method, body)

    def _reply_failure(self, frame: Frame, error: BaseException) -> None:
        if not isinstance(error, CallError):
            _log.warning('handler of a call failed', error=repr(error))
            error = CallError(FailureCode.internal, repr(error))
        if frame.kind == FrameKind.notice:
            return
        failure = Failure(
            code=error.code,
            text=error.text,
            leader=error.leader,
        )
        body = pack(failure)
        self.send_frame(FrameKind.failure, frame.exchange, frame.method, body)

    def _handle_open(self, frame: Frame) -> None:
        route = self.dispatch.streams_by_method.get(frame.method)
        stream = Stream(
            link=self,
            exchange=frame.exchange,
            method=frame.method,
        )
        if route is None:
            stream.reset('unknown method')
            return
        self._streams_by_exchange[frame.exchange] = stream
        head: Any = unpack(route.head_class, frame.body)
        route.handler(self, head, stream)

    def _handle_stream_frame(self, frame: Frame) -> None:
        stream = self._streams_by_exchange.get(frame.exchange)
        if stream is None:
            return
        stream.handle_frame(frame)


def _has_expired(call: Frame, now: float) -> bool:
    """Return whether the sender of a call has stopped waiting; log it."""
    now_ms = milliseconds_in(now)
    if not 0 < call.expires_ms < now_ms:
        return False
    _log.event(
        'dropped a call whose sender waits no longer',
        method=call.method,
        late_ms=now_ms - call.expires_ms,
    )
    return True


def _log_failure(failure: TwistedFailure, method: int) -> None:
    _log.warning(
        'handler failed',
        method=method,
        error=repr(failure.value),
        trace=failure.getTraceback(),
    )
