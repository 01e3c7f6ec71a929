"""Untrusted clients of a soak, at every address of its programs.

Some never finish what they begin, some send whole requests without end: jobs of
a queue without workers, announcements of others, questions. They are drawn
apart from the faults, whose series stay those of the seed. No promise is
suspended for them: they must not be noticed by anyone else.
"""

import json
from random import Random
from typing import Any, cast, final

import attrs
from twisted.internet.protocol import ClientFactory, Protocol

from benchmarks.platform_soak.fleet import Fleet
from benchmarks.platform_soak.settings import (
    CROWD_HOST,
    CROWD_PREFIX,
    HOST,
    PREFIX,
    create_announcement,
)
from wasabiturn.connection.endpoint import Endpoint

CLIENTS = (2, 8, 30)
STAY_SECONDS = (0.5, 2.0, 5.0)
PAUSE_SECONDS = (0.1, 0.5, 1.5)
CONNECT_SECONDS = 1.0
BODY_BYTES = 200_000
PIPELINED = 500
WHOLE_REQUESTS = 40
SPEC_BYTES = 4000
LABELS = 64
NAME_BYTES = 256
ID_BITS = 64
# Share of the bursts.
WHOLE_SHARE = 0.6
_HEAD = f'POST {PREFIX}0123456789abcdef HTTP/1.1\r\nHost: {HOST}\r\n'.encode()


def _create_chunks(size: int) -> bytes:
    chunk = b'%x\r\n%b\r\n' % (size, b'x' * size)
    return b'%bTransfer-Encoding: chunked\r\n\r\n%b' % (
        _HEAD,
        chunk * (BODY_BYTES // size),
    )


def _create_sized() -> bytes:
    return b'%bContent-Length: %d\r\n\r\n%b' % (
        _HEAD,
        BODY_BYTES + 1,
        b'x' * BODY_BYTES,
    )


_MESSAGES = (
    b'',
    _create_chunks(2),
    _create_chunks(1000),
    _create_sized(),
    b'%bX: %b' % (_HEAD, b'x' * BODY_BYTES),
    _HEAD + b'a:b\r\n' * 1000,
    b'GET / HTTP/1.1\r\n\r\n' * PIPELINED,
)


def _encode(method: str, path: str, body: bytes = b'') -> bytes:
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: {CROWD_HOST}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


def _create_jobs(random: Random) -> bytes:
    """Return jobs that are within all limits of one, and never run."""
    step = {'count': random.choice((1, 20)), 'cpu': 1, 'mem_mb': 1}
    steps = [step for _ in range(random.choice((1, 50)))]
    body = json.dumps({'spec': 'x' * SPEC_BYTES, 'steps': steps}).encode()
    return b''.join(
        _encode('POST', _draw_path(random), body) for _ in range(WHOLE_REQUESTS)
    )


def _create_questions(random: Random) -> bytes:
    """Return reads and cancels of unknown jobs, and counts."""
    return b''.join(
        _encode('GET', _draw_path(random))
        + _encode('DELETE', _draw_path(random))
        + _encode('GET', CROWD_PREFIX)
        for _ in range(WHOLE_REQUESTS)
    )


def _create_announcements(random: Random) -> bytes:
    """Return announcements of workers that are not there."""
    body = create_announcement(['x' * NAME_BYTES for _ in range(LABELS)])
    return b''.join(
        _encode('POST', f'/api/Instances.Heartbeat/i-{number}', body)
        for number in range(random.randrange(WHOLE_REQUESTS))
    )


def _draw_path(random: Random) -> str:
    return f'{CROWD_PREFIX}{random.getrandbits(ID_BITS):016x}'


@final
class _Client(Protocol):
    """Connection that sends its message, and reads nothing."""

    def __init__(self, message: bytes) -> None:
        self._message = message

    def connectionMade(self) -> None:
        """Send the message."""
        transport = cast(Any, self.transport)
        transport.write(self._message)
        transport.pauseProducing()


@final
class _Clients(ClientFactory):
    noisy = False

    def __init__(self, message: bytes) -> None:
        self._message = message

    def buildProtocol(self, addr: Any) -> _Client:
        """Return the next connection."""
        return _Client(self._message)


@final
@attrs.define(eq=False)
class UntrustedClients:
    """Bursts of clients at the callers' addresses, until stopped."""

    reactor: Any
    fleet: Fleet
    random: Random
    is_stopped: bool = False
    bursts: int = 0

    def start(self) -> None:
        """Begin a burst, and go on until stopped."""
        if self.is_stopped:
            return
        self.bursts += 1
        endpoint, message = self._choose_burst()
        factory = _Clients(message)
        connectors = [
            self.reactor.connectTCP(
                endpoint.host, endpoint.port, factory, timeout=CONNECT_SECONDS
            )
            for _ in range(self.random.choice(CLIENTS))
        ]
        stay_seconds = self.random.choice(STAY_SECONDS)
        self.reactor.callLater(stay_seconds, _disconnect, connectors)
        self.reactor.callLater(self.random.choice(PAUSE_SECONDS), self.start)

    def _choose_burst(self) -> tuple[Endpoint, bytes]:
        """Return an address, and what each client of a burst sends there."""
        entry = self.random.choice(self.fleet.entries())
        callers = self.fleet.callers_endpoint(entry)
        agents = [
            Endpoint(site.address, self.fleet.ports.control)
            for site in self.fleet.sites_by_name.values()
            if site.has_worker
        ]
        if self.random.random() < WHOLE_SHARE:
            return self.random.choice(
                (
                    (callers, _create_jobs(self.random)),
                    (callers, _create_questions(self.random)),
                    (
                        self.random.choice(agents),
                        _create_announcements(self.random),
                    ),
                )
            )
        others = [
            callers,
            self.fleet.operators_endpoint(entry),
            Endpoint(entry.address, self.fleet.ports.ready),
            self.random.choice(agents),
            *self._list_link_endpoints(),
        ]
        return self.random.choice(others), self.random.choice(_MESSAGES)

    def _list_link_endpoints(self) -> list[Endpoint]:
        """Return where the members of the control group accept links."""
        return [
            Endpoint(site.address, site.link_port)
            for site in self.fleet.sites_by_name.values()
            if site.name.startswith('control')
        ]


def _disconnect(connectors: list[Any]) -> None:
    for connector in connectors:
        if connector.state == 'connected':
            connector.transport.abortConnection()
        else:
            connector.disconnect()
