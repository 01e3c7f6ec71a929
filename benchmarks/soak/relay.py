"""TCP relay that can cut a path or let its open connections go silent."""

from typing import Any, final

import attrs
from twisted.internet.protocol import Factory, Protocol

from wasabiturn.connection.dialer import Endpoint


@final
@attrs.define(eq=False)
class Path:
    """State of the path that one relay carries.

    ``cut_forward`` and ``cut_backward`` drop bytes in one direction and, like
    a network partition, keep connections open; new ones are not answered.
    ``carried_bytes`` counts payload in both directions, without headers of TCP.
    """

    cut_forward: bool = False
    cut_backward: bool = False
    carried_bytes: int = 0
    sides: set['RelaySide'] = attrs.field(factory=set)

    def cut(self) -> None:
        """Drop everything in both directions."""
        self.cut_forward = True
        self.cut_backward = True

    def heal(self) -> None:
        """Pass everything again; connections that lost bytes are reset."""
        if self.cut_forward or self.cut_backward:
            self.reset_open()
        self.cut_forward = False
        self.cut_backward = False

    def silence_open(self) -> None:
        """Make open connections silent for good while new ones work."""
        for side in self.sides:
            side.silent = True

    def reset_open(self) -> None:
        """Reset each open connection."""
        for side in list(self.sides):
            side.drop()


@final
class RelaySide(Protocol):
    """One of the two connections that a relay joins."""

    def __init__(self, path: Path, forward: bool) -> None:
        """Create the side that carries bytes ``forward`` or backward."""
        self.path = path
        self.forward = forward
        self.other: RelaySide | None = None
        self.silent = False
        self.early: list[bytes] = []

    def connectionMade(self) -> None:
        """Pass on what came before the other side was connected."""
        self.path.sides.add(self)
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        for data in self.early:
            transport.write(data)
        self.early.clear()

    def dataReceived(self, data: bytes) -> None:
        """Pass bytes to the other side unless the path drops them."""
        if self.silent or self._is_cut():
            return
        self.path.carried_bytes += len(data)
        other = self.other
        if other is None:
            return
        if other.transport is None:
            other.early.append(data)
            return
        transport: Any = other.transport
        transport.write(data)

    def connectionLost(self, reason: Any = None) -> None:
        """Close the other side, unless the path hides it."""
        self.path.sides.discard(self)
        if self.other is not None and not (self.silent or self._is_cut()):
            self.other.drop()

    def drop(self) -> None:
        """Reset this connection."""
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()

    def _is_cut(self) -> bool:
        if self.forward:
            return self.path.cut_forward
        return self.path.cut_backward


@final
class _RelayFactory(Factory):
    noisy = False

    def __init__(self, path: Path, target: Endpoint, reactor: Any) -> None:
        self.path = path
        self.target = target
        self.reactor = reactor

    def buildProtocol(self, addr: Any) -> RelaySide:
        """Join an accepted connection with one to the target."""
        accepted = RelaySide(self.path, forward=True)
        dialled = RelaySide(self.path, forward=False)
        accepted.other = dialled
        dialled.other = accepted
        if not self.path.cut_forward:
            self.reactor.connectTCP(
                self.target.host,
                self.target.port,
                _DialledFactory(dialled),
                timeout=2,
            )
        return accepted


@final
class _DialledFactory(Factory):
    noisy = False

    def __init__(self, side: RelaySide) -> None:
        self.side = side

    def startedConnecting(self, connector: Any) -> None:
        """Do nothing; Twisted calls it."""

    def buildProtocol(self, addr: Any) -> RelaySide:
        """Return the side that was created with the accepted one."""
        return self.side

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """Reset the accepted side."""
        if self.side.other is not None:
            self.side.other.drop()

    def clientConnectionLost(self, connector: Any, reason: Any) -> None:
        """Do nothing; the sides close each other."""


def open_relay(reactor: Any, endpoint: Endpoint, target: Endpoint) -> Path:
    """Relay connections to ``endpoint`` to ``target``; return its path."""
    path = Path()
    reactor.listenTCP(
        endpoint.port,
        _RelayFactory(path, target, reactor),
        interface=endpoint.host,
    )
    return path
