"""Small HTTP/1.1 server and client on asyncio streams."""

import asyncio
import json


class Site:
    """Server whose connections end with it."""

    def __init__(self):
        """Create a server without connections."""
        self.server = None
        self.writers = set()
        self.tasks = set()

    async def end(self):
        """Close the port and all connections at once."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()


async def read_message(reader):
    """Return first line, headers by lower-case name, and body."""
    first = (await reader.readline()).decode('latin-1').rstrip('\r\n')
    if not first:
        return None
    headers = {}
    while True:
        line = (await reader.readline()).decode('latin-1').rstrip('\r\n')
        if not line:
            break
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    length = int(headers.get('content-length', 0))
    body = await reader.readexactly(length) if length else b''
    return first, headers, body


async def serve(address, port, handler):
    """Serve ``handler(method, path, headers, body)`` until ``end``."""
    site = Site()

    async def connected(reader, writer):
        site.writers.add(writer)
        site.tasks.add(asyncio.current_task())
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                first, headers, body = message
                method, path, _ = first.split(' ')
                answer = await handler(method, path, headers, body)
                if answer is None:
                    # No response: the connection ends.
                    break
                write_response(writer, *answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            site.writers.discard(writer)
            site.tasks.discard(asyncio.current_task())
            writer.transport.abort()

    site.server = await asyncio.start_server(
        connected, address, port, reuse_address=True
    )
    return site


def write_response(writer, status, fields):
    """Write a response with a JSON body."""
    body = json.dumps(fields).encode()
    head = (
        f'HTTP/1.1 {status} X\r\n'
        'Content-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    writer.write(head.encode() + body)


async def call(address, port, method, path, fields=None, seconds=1, host=''):
    """Return status and decoded body; status 0 without a response."""
    try:
        return await asyncio.wait_for(
            _call(address, port, method, path, fields, host), seconds
        )
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return 0, {}


async def _call(address, port, method, path, fields, host):
    reader, writer = await asyncio.open_connection(address, port)
    try:
        if isinstance(fields, bytes):
            body = fields
        else:
            body = b'' if fields is None else json.dumps(fields).encode()
        head = (
            f'{method} {path} HTTP/1.1\r\n'
            f'Host: {host or address}\r\n'
            'Content-Type: application/json\r\n'
            'Wasabiturn-Deadline-Ms: 3000\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        writer.write(head.encode() + body)
        message = await read_message(reader)
        if message is None:
            return 0, {}
        first, _, answer = message
        return int(first.split(' ')[1]), json.loads(answer or b'{}')
    finally:
        writer.transport.abort()
