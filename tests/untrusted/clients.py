"""Clients that break limits; each keeps its connection open."""

import socket
from collections.abc import Callable, Iterable
from contextlib import ExitStack

from tests.untrusted.programs import Running

SEND_SECONDS = 3.0
SMALL_BUFFER_BYTES = 4096
Bytes = Iterable[bytes]

HEAD = b'POST /cola/0123456789abcdef HTTP/1.1\r\nHost: cola.example\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
BLOCK_BYTES = 262_144


def chunked_body(size: int, chunk: int) -> Bytes:
    """Yield a request whose chunked body stops short of its end."""
    yield CHUNKED
    piece = f'{chunk:x}\r\n'.encode() + b'x' * chunk + b'\r\n'
    per_block = max(BLOCK_BYTES // len(piece), 1)
    for _ in range(size // chunk // per_block):
        yield piece * per_block
    yield piece * (size // chunk % per_block)


def sized_body(declared: int, size: int) -> Bytes:
    """Yield a request that sends only a part of its declared body."""
    yield HEAD + f'Content-Length: {declared}\r\n\r\n'.encode()
    for _ in range(size // BLOCK_BYTES):
        yield b'x' * BLOCK_BYTES
    yield b'x' * (size % BLOCK_BYTES)


def endless_header(size: int) -> Bytes:
    """Yield a head with one header value that does not end."""
    yield HEAD + b'X: '
    for _ in range(size // BLOCK_BYTES):
        yield b'x' * BLOCK_BYTES


def many_headers(count: int) -> Bytes:
    """Yield a head with many short fields that does not end."""
    yield HEAD
    fields = [f'{number:x}:b\r\n'.encode() for number in range(count)]
    yield b''.join(fields)


def pipelined(request: bytes, count: int) -> Bytes:
    """Yield the same request many times."""
    yield request * count


class Clients:
    """Connections of one test to one address, and what they have met."""

    def __init__(self, running: Running, port: int, stack: ExitStack) -> None:
        self.open: list[socket.socket] = []
        self._running = running
        self._port = port
        self._stack = stack

    def connect(self, reads_little: bool = False) -> socket.socket | None:
        """Open a connection; return none if it is refused."""
        client = self._stack.enter_context(socket.socket())
        client.settimeout(SEND_SECONDS)
        if reads_little:
            client.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
            )
        try:
            client.connect((self._running.address, self._port))
        except OSError:
            return None
        self.open.append(client)
        self._running.observe()
        return client

    def send_each(
        self,
        count: int,
        create: Callable[[], Bytes],
        reads_little: bool = False,
    ) -> None:
        """Send the same from ``count`` clients, each on its connection."""
        for _ in range(count):
            client = self.connect(reads_little)
            if client is not None:
                _send_all(client, create())
        self._running.observe()

    def trickle(self, rounds: int, piece: bytes) -> None:
        """Send a few bytes more on each connection, several times."""
        for _ in range(rounds):
            for client in self.open:
                _send_all(client, (piece,))
            self._running.observe()


def _send_all(client: socket.socket, pieces: Bytes) -> None:
    """Send until the server closes the connection or reads no more."""
    try:
        for piece in pieces:
            client.sendall(piece)
    except OSError:
        return
