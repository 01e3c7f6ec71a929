"""HTTP exchanges with the operators' API on in-memory connections."""

import json
from typing import Any

import attrs
from twisted.internet.testing import StringTransport

from tests.process.group import Group
from wasabiturn.process.api_front import ApiFront, create_api_site
from wasabiturn.process.session import ControlSession

UNSTABLE_HEADERS = ('date', 'server', 'request-id')


@attrs.define
class Answer:
    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def content(self) -> Any:
        return json.loads(self.body)

    @property
    def lines(self) -> list[Any]:
        return [json.loads(line) for line in self.body.splitlines()]


class HttpTransport(StringTransport):
    """Transport of one HTTP connection; a full one pauses its producer."""

    aborted = False

    def abortConnection(self) -> None:
        self.aborted = True

    def loseConnection(self) -> None:
        self.disconnecting = True


class OperatorClient:
    """HTTP client of the API of one entry."""

    def __init__(self, group: Group, session: ControlSession) -> None:
        self.group = group
        front = ApiFront(
            path=session,
            is_ready=lambda: session.is_fresh(group.network.seconds()),
        )
        self._site = create_api_site(front, group.network)

    def send(
        self,
        method: str,
        path: str,
        content: Any = None,
        **headers: str,
    ) -> Answer:
        transport = self.open(method, path, content, **headers)
        self.group.network.run(6 if not transport.value() else 0)
        return parse_response(transport)

    def open(
        self,
        method: str,
        path: str,
        content: Any = None,
        **headers: str,
    ) -> HttpTransport:
        body = content if isinstance(content, bytes) else b''
        if content is not None and not body:
            body = json.dumps(content).encode()
        lines = [f'{method} {path} HTTP/1.1', f'Content-Length: {len(body)}']
        lines.extend(
            f'{name.replace("_", "-")}: {text}'
            for name, text in headers.items()
        )
        transport = HttpTransport()
        channel = self._site.buildProtocol(None)
        channel.makeConnection(transport)
        channel.dataReceived('\r\n'.join([*lines, '', '']).encode() + body)
        self.group.network.run(0.2)
        return transport


def parse_response(transport: HttpTransport) -> Answer:
    head, _, body = transport.value().partition(b'\r\n\r\n')
    first, *rest = head.decode().split('\r\n')
    headers = dict(line.split(': ', 1) for line in rest)
    by_name = {name.lower(): text for name, text in headers.items()}
    if by_name.get('transfer-encoding') == 'chunked':
        body = join_chunks(body)
    kept = {
        name: text
        for name, text in by_name.items()
        if name not in UNSTABLE_HEADERS
    }
    return Answer(int(first.split()[1]), kept, body)


def join_chunks(body: bytes) -> bytes:
    joined = b''
    while body:
        size, _, rest = body.partition(b'\r\n')
        length = int(size, 16)
        joined += rest[:length]
        body = rest[length + 2 :]
    return joined
