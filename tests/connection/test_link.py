"""Tests of calls, streams and lost connections on one link."""

from typing import Any

import pytest
from twisted.internet.task import Clock

from tests.connection.fakes import Pipe, PipeTransport
from wasabiturn.connection.calls import CallError
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.link import Link
from wasabiturn.connection.streams import Stream
from wasabiturn.messages.kinds import FailureCode, Method, Role
from wasabiturn.messages.link import Hello
from wasabiturn.messages.session import (
    LookUpClaim,
    RequestHead,
    Subscribed,
)


def create_dispatch(name: str) -> Dispatch:
    return Dispatch(
        hello=Hello(name=name, role=Role.entry, protocol_version=1),
    )


class RecordingReceiver:
    def __init__(self) -> None:
        self.events: list[Any] = []

    def data_received(self, chunk: bytes) -> None:
        self.events.append(chunk)

    def end_received(self) -> None:
        self.events.append('end')

    def reset_received(self, reason: str) -> None:
        self.events.append(('reset', reason))

    def writable(self) -> None:
        self.events.append('writable')


def test_call_gets_its_own_reply() -> None:
    right = create_dispatch('right')
    right.handle(
        Method.look_up_claim,
        LookUpClaim,
        lambda link, message: Subscribed(revision=int(message.key)),
    )
    pipe = Pipe(Clock(), create_dispatch('left'), right)
    replies: list[int] = []
    for key in range(3):
        call = pipe.left.call(
            Method.look_up_claim,
            LookUpClaim(key=str(key)),
            Subscribed,
            timeout_seconds=1,
        )
        call.addCallback(lambda reply: replies.append(reply.revision))
    pipe.pump()
    assert replies == [0, 1, 2]


@pytest.mark.parametrize('side', ['cut_to_right', 'cut_to_left'])
def test_loss_in_one_direction_fails_the_call_within_two_seconds(
    side: str,
) -> None:
    pipe = Pipe(Clock(), create_dispatch('left'), create_dispatch('right'))
    setattr(pipe, side, True)
    errors: list[CallError] = []
    call = pipe.left.call(
        Method.look_up_claim,
        LookUpClaim(),
        Subscribed,
        timeout_seconds=60,
    )
    call.addErrback(lambda failure: errors.append(failure.value))
    pipe.advance(2.0)
    assert [error.code for error in errors] in (
        [FailureCode.closed],
        [FailureCode.unknown_method],
    )
    assert not pipe.left.is_open


def test_stream_waits_for_credit() -> None:
    accepted: list[Stream] = []
    inbound = RecordingReceiver()

    def serve(link: Link, head: RequestHead, stream: Stream) -> None:
        accepted.append(stream)
        stream.attach(inbound)

    right = create_dispatch('right')
    right.handle_stream(Method.serve, RequestHead, serve)
    pipe = Pipe(Clock(), create_dispatch('left'), right)
    outbound = RecordingReceiver()
    stream = pipe.left.open_stream(Method.serve, RequestHead(), outbound)
    writes = 0
    while stream.write(bytes(65536)):
        writes += 1
    assert writes == 3
    pipe.pump()
    accepted[0].consumed(65536)
    pipe.pump()
    assert outbound.events == ['writable']
    stream.end()
    accepted[0].end()
    pipe.pump()
    assert inbound.events[-1] == 'end'
    assert stream.closed


def test_corrupt_frame_closes_the_link() -> None:
    pipe = Pipe(Clock(), create_dispatch('left'), create_dispatch('right'))
    pipe.right.dataReceived(b'\x00\x00\x00\x04\x00\x00\x00\x00abcd')
    pipe.pump()
    assert not pipe.right.is_open


def test_unknown_method_and_kind_keep_the_link_open() -> None:
    pipe = Pipe(Clock(), create_dispatch('left'), create_dispatch('right'))
    errors: list[CallError] = []
    # A peer of a newer version may send kinds and methods unknown here.
    newer: Any = 98
    call = pipe.left.call(newer, LookUpClaim(), Subscribed, timeout_seconds=1)
    call.addErrback(lambda failure: errors.append(failure.value))
    pipe.left.send_frame(newer, 0, newer, b'')
    pipe.pump()
    assert [error.code for error in errors] == [FailureCode.unknown_method]
    assert pipe.right.is_open


class KeepingTransport(PipeTransport):
    """Transport whose peer takes nothing."""

    dataBuffer = b''  # noqa: N815 - name used by Twisted
    offset = 0

    def write(self, data: bytes) -> None:
        self.dataBuffer += data


def test_a_link_that_takes_nothing_gets_no_more_calls() -> None:
    """They have not run, so that another way may be tried."""
    dispatch = create_dispatch('left')
    dispatch.max_unsent_bytes = 1000
    link = Link(dispatch, Clock(), dialled=True)
    transport: Any = KeepingTransport()
    link.makeConnection(transport)
    link.is_open = True
    codes: list[FailureCode] = []
    for _ in range(100):
        message = LookUpClaim(key='k' * 2000)
        call = link.call(Method.look_up_claim, message, Subscribed, 1)
        call.addErrback(lambda failure: codes.append(failure.value.code))
        link.notify(Method.look_up_claim, message)
    assert codes == [FailureCode.unavailable] * 99
    assert len(transport.dataBuffer) < 4000
    transport.dataBuffer = b''
    link.call(Method.look_up_claim, message, Subscribed, 1)
    assert len(codes) == 99
