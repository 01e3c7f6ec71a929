"""Limits on the peers of accepted links."""

import struct
from typing import Any

from twisted.internet.task import Clock

from tests.connection.fakes import PipeTransport
from wasabiturn.connection.client_claims import Rank
from wasabiturn.connection.client_deadlines import (
    HELLO_TIMEOUT_SECONDS,
    RATE_GRACE_SECONDS,
)
from wasabiturn.connection.client_guard import ClientBounds, ClientGuard
from wasabiturn.connection.dialer import LinkFactory
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.frames import (
    MAX_FIRST_FRAME_BYTES,
    MAX_FRAME_BYTES,
    encode_frame,
)
from wasabiturn.connection.link import PROTOCOL_VERSION
from wasabiturn.connection.rejections import RejectionCause
from wasabiturn.messages.codec import pack
from wasabiturn.messages.kinds import FrameKind
from wasabiturn.messages.link import Frame, Hello

HELLO = encode_frame(
    pack(
        Frame(
            kind=FrameKind.hello,
            body=pack(Hello(name='a', protocol_version=PROTOCOL_VERSION)),
        )
    )
)
HEARTBEAT = encode_frame(pack(Frame(kind=FrameKind.heartbeat)))


class Acceptor:
    """A process that accepts links; the test is their peer."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.causes: list[RejectionCause] = []
        self.guard = ClientGuard(
            self.clock,
            ClientBounds(8_000_000, 40, 8),
            lambda cause, rank: self.causes.append(cause),
        )
        self.factory = LinkFactory(
            Dispatch(Hello()), self.clock, dialled=False, guard=self.guard
        )

    def accept(self, received: bytes = b'') -> Any:
        link: Any = self.factory.buildProtocol(None)
        link.makeConnection(PipeTransport())
        if received:
            link.dataReceived(received)
        return link

    def feed(self, link: Any, received: bytes, seconds: float) -> None:
        """Deliver the same bytes again and again."""
        for _ in range(int(seconds * 2)):
            if not link.transport.aborted:
                link.dataReceived(received)
                self.clock.advance(0.5)


def frame_header(length: int) -> bytes:
    return struct.pack('!II', length, 0)


def test_the_first_frame_is_small() -> None:
    acceptor = Acceptor()
    link = acceptor.accept(frame_header(MAX_FIRST_FRAME_BYTES + 1))
    assert link.transport.aborted


def test_later_frames_may_be_large() -> None:
    acceptor = Acceptor()
    link = acceptor.accept(HELLO + frame_header(MAX_FRAME_BYTES))
    assert not link.transport.aborted


def test_a_peer_that_sends_no_hello_is_aborted() -> None:
    acceptor = Acceptor()
    link = acceptor.accept()
    acceptor.feed(link, HEARTBEAT, HELLO_TIMEOUT_SECONDS + 2)
    assert link.transport.aborted


def test_a_frame_that_trickles_is_aborted() -> None:
    acceptor = Acceptor()
    link = acceptor.accept(HELLO + frame_header(MAX_FRAME_BYTES))
    acceptor.feed(link, b'x', RATE_GRACE_SECONDS - 1)
    assert not link.transport.aborted
    acceptor.feed(link, b'x', 3)
    assert link.transport.aborted
    assert acceptor.causes == [RejectionCause.frame_rate]


def test_a_link_that_is_in_use_is_kept() -> None:
    acceptor = Acceptor()
    link = acceptor.accept(HELLO)
    acceptor.feed(link, HEARTBEAT, 60)
    assert not link.transport.aborted


def test_unfinished_frames_stay_within_the_budget() -> None:
    acceptor = Acceptor()
    start = HELLO + frame_header(MAX_FRAME_BYTES) + b'x' * 4_000_000
    links = [acceptor.accept(start) for _ in range(4)]
    aborted = [link for link in links if link.transport.aborted]
    assert len(aborted) == 2
    assert acceptor.guard.used_bytes <= 10_000_000
    assert acceptor.causes == [RejectionCause.memory] * 2


def test_memory_of_a_lost_link_is_given_back() -> None:
    acceptor = Acceptor()
    link = acceptor.accept(HELLO + frame_header(MAX_FRAME_BYTES) + b'x' * 9999)
    assert acceptor.guard.used_bytes
    link.connectionLost()
    assert not acceptor.guard.used_bytes
    assert not acceptor.guard.clients


def test_there_is_a_bound_on_links() -> None:
    acceptor = Acceptor()
    for _ in range(40):
        if acceptor.guard.admits(Rank.trusted):
            acceptor.accept(HELLO)
    assert acceptor.factory.buildProtocol(None) is None
