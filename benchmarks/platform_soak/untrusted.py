"""Untrusted clients of a soak: connections that never finish what they begin.

They are drawn apart from the faults, whose series stay those of the seed. No
promise is suspended for them: they must not be noticed by anyone else.
"""

from pathlib import Path
from random import Random
from typing import Any, cast, final

import attrs
from twisted.internet.protocol import ClientFactory, Protocol

from benchmarks.platform_soak.fleet import Fleet
from benchmarks.platform_soak.settings import HOST, MEMORY_MB, PREFIX

CLIENTS = (2, 8, 30)
STAY_SECONDS = (0.5, 2.0, 5.0)
PAUSE_SECONDS = (0.5, 1.0, 3.0)
CONNECT_SECONDS = 1.0
BODY_BYTES = 200_000
PIPELINED = 500
_KB_PER_MB = 1024
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
        entry = self.random.choice(self.fleet.entries())
        endpoint = self.fleet.callers_endpoint(entry)
        factory = _Clients(self.random.choice(_MESSAGES))
        connectors = [
            self.reactor.connectTCP(
                endpoint.host, endpoint.port, factory, timeout=CONNECT_SECONDS
            )
            for _ in range(self.random.choice(CLIENTS))
        ]
        stay_seconds = self.random.choice(STAY_SECONDS)
        self.reactor.callLater(stay_seconds, _disconnect, connectors)
        self.reactor.callLater(self.random.choice(PAUSE_SECONDS), self.start)

    def find_excesses(self) -> list[str]:
        """Return the entries that took more memory than they have."""
        found = []
        for entry in self.fleet.entries():
            program = self.fleet.programs_by_name[entry.name]
            if program.process is not None and program.is_running():
                peak_mb = _read_peak_mb(program.process.pid)
                if peak_mb > MEMORY_MB:
                    found.append(f'{entry.name}: {peak_mb} MB')
        return found


def _read_peak_mb(pid: int) -> int:
    status = Path(f'/proc/{pid}/status').read_text('utf-8')
    line = next(line for line in status.splitlines() if 'VmHWM' in line)
    return int(line.split()[1]) // _KB_PER_MB


def _disconnect(connectors: list[Any]) -> None:
    for connector in connectors:
        if connector.state == 'connected':
            connector.transport.abortConnection()
        else:
            connector.disconnect()
