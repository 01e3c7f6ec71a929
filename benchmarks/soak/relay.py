"""TCP relay that can drop or delay the data of a path or its connections."""

from typing import Any, final

import attrs
from twisted.internet.protocol import Factory, Protocol

from wasabiturn.connection.endpoint import Endpoint

# Calls that are due at the same time may come in any order.
MIN_GAP_SECONDS = 1e-5


@final
@attrs.define(eq=False)
class NetworkPath:
    """Network path through one relay.

    ``cut_forward`` and ``cut_backward`` drop all data in one direction. As in
    a network partition, connections stay open, and new ones get no answer.
    """

    cut_forward: bool = False
    cut_backward: bool = False
    # Payload in both directions, without TCP headers.
    carried_bytes: int = 0
    # How much later data is passed on, in the same order; needs ``clock``.
    delay_seconds: float = 0.0
    clock: Any = None
    sides: set['RelaySide'] = attrs.field(factory=set)

    def cut(self) -> None:
        """Drop all data in both directions."""
        self.cut_forward = True
        self.cut_backward = True

    def heal(self) -> None:
        """Pass all data again; reset connections that may have lost some."""
        if self.cut_forward or self.cut_backward:
            self.reset_open_connections()
        self.cut_forward = False
        self.cut_backward = False

    def silence_open_connections(self) -> None:
        """Drop all data of open connections from now on; new ones work."""
        for side in self.sides:
            side.silent = True

    def reset_open_connections(self) -> None:
        """Reset all open connections."""
        for side in list(self.sides):
            side.reset()


@final
class RelaySide(Protocol):
    """One of the two connections between which a relay passes data."""

    def __init__(self, path: NetworkPath, forward: bool) -> None:
        """Create the side whose received data goes ``forward`` or backward."""
        self.path = path
        self.forward = forward
        self.other: RelaySide | None = None
        self.silent = False
        self.early_data: list[bytes] = []
        self.delayed_until = 0.0

    def connectionMade(self) -> None:
        """Send the data that was received before this side was connected."""
        self.path.sides.add(self)
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        for data in self.early_data:
            transport.write(data)
        self.early_data.clear()

    def dataReceived(self, data: bytes) -> None:
        """Pass data to the other side unless it is to be dropped."""
        if self.silent or self._is_cut():
            return
        self.path.carried_bytes += len(data)
        clock = self.path.clock
        now = clock.seconds() if clock else 0.0
        due_at = max(
            now + self.path.delay_seconds, self.delayed_until + MIN_GAP_SECONDS
        )
        if due_at > now:
            # What follows may not overtake it, also without a delay.
            self.delayed_until = due_at
            clock.callLater(due_at - now, self._pass_on, data)
        else:
            self._pass_on(data)

    def _pass_on(self, data: bytes) -> None:
        other = self.other
        if other is None:
            return
        if other.transport is None:
            other.early_data.append(data)
            return
        transport: Any = other.transport
        transport.write(data)

    def connectionLost(self, reason: Any = None) -> None:
        """Reset the other side, unless the path is cut or the side silent."""
        self.path.sides.discard(self)
        if self.other is not None and not (self.silent or self._is_cut()):
            self.other.reset()

    def reset(self) -> None:
        """Reset this connection."""
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()

    def _is_cut(self) -> bool:
        if self.forward:
            return self.path.cut_forward
        return self.path.cut_backward


@final
class RelayFactory(Factory):
    """Factory of the accepted sides of one relay."""

    noisy = False

    def __init__(
        self, path: NetworkPath, target: Endpoint, reactor: Any
    ) -> None:
        """Create a relay of ``path`` to ``target``."""
        self.path = path
        self.target = target
        self.reactor = reactor

    def buildProtocol(self, addr: Any) -> RelaySide:
        """Create both sides, and connect to the target.

        A path that is cut forward opens no connection to the target.
        """
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
        """Do nothing; Twisted requires the method."""

    def buildProtocol(self, addr: Any) -> RelaySide:
        """Return the side that was created for this connection."""
        return self.side

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """Reset the accepted side."""
        if self.side.other is not None:
            self.side.other.reset()

    def clientConnectionLost(self, connector: Any, reason: Any) -> None:
        """Do nothing; ``RelaySide`` handles the loss."""


def open_relay(
    reactor: Any, endpoint: Endpoint, target: Endpoint
) -> NetworkPath:
    """Relay connections at ``endpoint`` to ``target``; return the path."""
    path = NetworkPath(clock=reactor)
    reactor.listenTCP(
        endpoint.port,
        RelayFactory(path, target, reactor),
        interface=endpoint.host,
    )
    return path
