"""Small HTTP/1.1 server and client for the stand-ins; standard library only."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

Handler = Callable[['Request'], Awaitable[tuple[int, Any]]]

_PHRASES = {200: 'OK', 400: 'Bad Request', 409: 'Conflict', 421: 'Misdirected'}


@dataclass
class Request:
    """One request; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''

    def json(self) -> dict[str, Any]:
        """Return the body as an object; empty if there is no body."""
        return json.loads(self.body) if self.body else {}


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes] | None:
    """Return first line, headers and body; None at the end of the stream."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, text = line.partition(':')
        if name:
            headers[name.strip().lower()] = text.strip()
    size = int(headers.get('content-length', '0'))
    try:
        body = await reader.readexactly(size) if size else b''
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


async def serve(ip: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve ``handler`` on kept connections."""

    async def connected(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                method, path, _ = message[0].split(' ', 2)
                request = Request(method, path, message[1], message[2])
                status, content = await handler(request)
                writer.write(encode_response(status, content))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    return await asyncio.start_server(connected, ip, port)


def encode_response(status: int, content: Any) -> bytes:
    """Return the bytes of a response with a JSON body."""
    body = json.dumps(content).encode()
    head = (
        f'HTTP/1.1 {status} {_PHRASES.get(status, "Status")}\r\n'
        'Content-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


def encode_request(
    method: str, path: str, host: str, content: Any, headers: dict[str, str]
) -> bytes:
    """Return the bytes of a request; ``content`` None sends no body."""
    body = b'' if content is None else json.dumps(content).encode()
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {host}',
        f'Content-Length: {len(body)}',
        'Content-Type: application/json',
        *(f'{name}: {text}' for name, text in headers.items()),
        'Connection: close',
    ]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


@dataclass
class Answer:
    """Answer to one call; status 0 if there was none in time."""

    status: int
    body: bytes = b''

    def json(self) -> dict[str, Any]:
        """Return the body as an object; empty if it is none."""
        try:
            content = json.loads(self.body)
        except ValueError:
            return {}
        return content if isinstance(content, dict) else {}


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    host: str = 'control',
    content: Any = None,
    timeout: float = 1.0,
    headers: dict[str, str] | None = None,
) -> Answer:
    """Send one request on a connection of its own."""
    request = encode_request(method, path, host, content, headers or {})
    try:
        return await asyncio.wait_for(_exchange(address, request), timeout)
    except (OSError, TimeoutError):
        return Answer(0)


async def _exchange(address: tuple[str, int], request: bytes) -> Answer:
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(request)
        message = await read_message(reader)
    finally:
        writer.close()
    if message is None:
        return Answer(0)
    return Answer(int(message[0].split(' ')[1]), message[2])
