"""Small HTTP/1.1 client and server for stand-ins."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[tuple]]


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Return first line, headers and body of one message."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    size = int(headers.get('content-length', 0))
    body = await reader.readexactly(size) if size else b''
    return first, headers, body


async def request(
    address: str,
    port: int,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = 3.0,
) -> tuple[int, bytes]:
    """Send one request on a new connection; the status is 0 if none came."""
    text = b'' if body is None else json.dumps(body).encode()
    lines = [f'{method} {path} HTTP/1.1', f'Content-Length: {len(text)}']
    fields = {'Host': 'operator', 'Content-Type': 'application/json'}
    fields.update(headers or {})
    lines += [f'{name}: {value}' for name, value in fields.items()]
    head = '\r\n'.join(lines) + '\r\n\r\n'
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(
                address, port, limit=1 << 24
            )
            writer.write(head.encode() + text)
            first, _, answer = await read_message(reader)
            return int(first.split()[1]), answer
    except (OSError, EOFError, asyncio.LimitOverrunError, ValueError):
        return 0, b''
    finally:
        if writer is not None:
            writer.transport.abort()


class Server:
    """Listens at one address; ``close`` also ends open connections."""

    def __init__(self, address: str, port: int, handler: Handler) -> None:
        """Create it; ``handler`` returns a status and the fields to send.

        A status of 0 leaves a request unanswered.
        """
        self._where = (address, port)
        self._handler = handler
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._serve, *self._where, limit=1 << 24
        )

    def close(self) -> None:
        """Stop to listen and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(' ')
                status, fields = await self._handler(
                    method, path, headers, body
                )
                if not status:
                    await asyncio.sleep(3600)
                text = json.dumps(fields).encode()
                head = (
                    f'HTTP/1.1 {status} X\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(text)}\r\n\r\n'
                )
                writer.write(head.encode() + text)
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()
