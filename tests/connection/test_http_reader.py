"""Bounds of the reader on messages of clients that break them."""

import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wasabiturn.connection.http_limits import HttpLimits
from wasabiturn.connection.http_messages import HttpError, HttpRequest
from wasabiturn.connection.http_reader import (
    HEADER_OVERHEAD_BYTES,
    RequestReader,
)
from wasabiturn.connection.rejections import RejectionCause

SMALL = HttpLimits(max_head_bytes=512, max_body_bytes=2048, max_header_fields=9)
CHUNKED = b'POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
# Fixed costs of a reader and of the objects that a test keeps.
SLACK_BYTES = 16_384


class Reading:
    """A reader, and what it has passed on."""

    def __init__(self, limits: HttpLimits = SMALL) -> None:
        self.requests: list[HttpRequest] = []
        self.reader = RequestReader(self.requests.append, lambda: None, limits)

    def feed_until_error(self, part: bytes, times: int) -> HttpError | None:
        """Feed a part several times; return the error that it leads to."""
        try:
            for _ in range(times):
                self.reader.feed(part)
        except HttpError as error:
            return error
        return None


@pytest.mark.parametrize(
    ('start', 'endless', 'cause'),
    [
        (b'', b'\r\n', RejectionCause.head_size),
        (b'GET /', b'a', RejectionCause.head_size),
        (b'GET / HTTP/1.1\r\n', b'a:b\r\n', RejectionCause.head_size),
        (b'GET / HTTP/1.1\r\nX: ', b'a', RejectionCause.head_size),
        (b'GET / HTTP/1.1\r\n', b'a', RejectionCause.head_size),
        (CHUNKED, b'0', RejectionCause.framing),
        (CHUNKED + b'1;', b'a', RejectionCause.framing),
        (CHUNKED + b'1;a=', b'a', RejectionCause.framing),
        (CHUNKED + b'0\r\nX: ', b'a', RejectionCause.framing),
        (CHUNKED + b'0\r\n', b'a:b\r\n', RejectionCause.framing),
        (CHUNKED, b'1\r\nx\r\n', RejectionCause.body_size),
        (CHUNKED, b'100\r\n' + b'x' * 256 + b'\r\n', RejectionCause.body_size),
    ],
)
@pytest.mark.parametrize('repetitions', [1, 64])
def test_what_does_not_end_is_rejected(
    start: bytes, endless: bytes, cause: RejectionCause, repetitions: int
) -> None:
    reading = Reading()
    reading.reader.feed(start)
    error = reading.feed_until_error(endless * repetitions, 4096)
    assert error is not None
    # Many bytes in one read may meet another limit first.
    assert error.cause is cause or repetitions > 1
    assert not reading.requests


def test_a_message_with_too_many_fields_is_rejected() -> None:
    reading = Reading(HttpLimits(max_header_fields=9))
    fields = [f'{number}:b\r\n'.encode() for number in range(10)]
    reading.reader.feed(b'GET / HTTP/1.1\r\n' + b''.join(fields[:9]))
    error = reading.feed_until_error(fields[9], 1)
    error = error or reading.feed_until_error(b'\r\n', 1)
    assert error is not None
    assert error.cause is RejectionCause.head_size


def test_a_declared_body_over_the_limit_is_rejected_with_its_head() -> None:
    reading = Reading()
    head = f'POST / HTTP/1.1\r\nContent-Length: {10**12}\r\n\r\n'
    error = reading.feed_until_error(head.encode(), 1)
    assert error is not None
    assert error.status == 413


@pytest.mark.parametrize('chunk', [b'1\r\nx\r\n', b'001;ext=1\r\nx\r\n'])
def test_the_largest_body_in_the_smallest_chunks_is_read(
    chunk: bytes,
) -> None:
    reading = Reading()
    reading.reader.feed(CHUNKED)
    for _ in range(SMALL.max_body_bytes):
        reading.reader.feed(chunk)
    reading.reader.feed(b'0\r\nTrailer: t\r\n\r\n')
    (request,) = reading.requests
    assert request.body == b'x' * SMALL.max_body_bytes
    assert 'trailer' not in request.headers_by_name
    assert not reading.reader.is_in_message
    assert not reading.reader.held_bytes


def test_memory_of_a_body_does_not_depend_on_its_chunks() -> None:
    reading = Reading(HttpLimits())
    size = 400_000
    piece = b'1\r\nx\r\n' * 1000
    reading.reader.feed(CHUNKED)
    tracemalloc.start()
    for _ in range(size // 1000):
        reading.reader.feed(piece)
    held_bytes, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert reading.reader.body_bytes == size
    assert held_bytes < size * 5 / 4 + SLACK_BYTES
    # A buffer that grows is copied once.
    assert peak_bytes < size * 5 / 2 + SLACK_BYTES


FRAGMENTS = st.sampled_from(
    [
        b'GET /a HTTP/1.1\r\n',
        b'POST /a HTTP/1.1\r\n',
        b'Transfer-Encoding: chunked\r\n',
        b'Content-Length: 900\r\n',
        b'Content-Length: 90000\r\n',
        b'Expect: 100-continue\r\n',
        b'X: ' + b'x' * 300,
        b'a:b\r\n' * 8,
        b'\r\n',
        b'\r\n\r\n',
        b'5\r\nabcde\r\n',
        b'1;' + b'e' * 100,
        b'0000000',
        b'0\r\n',
        b'x' * 700,
    ]
)
STREAMS = st.lists(st.one_of(FRAGMENTS, st.binary(max_size=64)), max_size=40)


@given(STREAMS, st.integers(min_value=1, max_value=3000))
def test_any_bytes_cost_no_more_than_the_limits(
    fragments: list[bytes], size: int
) -> None:
    """Any bytes end in a request, a rejection or a message with a deadline."""
    reading = Reading()
    received = b''.join(fragments)
    most_bytes = (
        SMALL.max_head_bytes
        + SMALL.max_body_bytes
        + SMALL.max_header_fields * HEADER_OVERHEAD_BYTES
        # One read may follow the end of a message.
        + size
    )
    for start in range(0, len(received), size):
        try:
            reading.reader.feed(received[start : start + size])
        except HttpError:
            return
        assert reading.reader.held_bytes <= most_bytes
        # Nothing is kept outside a message, which has a deadline.
        if not reading.reader.is_in_message:
            assert not reading.reader.body_bytes
    for request in reading.requests:
        assert len(request.body) <= SMALL.max_body_bytes
        assert len(request.headers_by_name) <= SMALL.max_header_fields
