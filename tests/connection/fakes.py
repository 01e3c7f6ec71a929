"""In-memory pair of links on a virtual clock."""

from typing import Any

from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.link import Link


class PipeTransport(StringTransport):
    """Transport that keeps what is written until ``Pipe.pump`` moves it."""

    def __init__(self) -> None:
        super().__init__()
        self.aborted = False

    def setTcpNoDelay(self, enabled: bool) -> None:
        pass

    def abortConnection(self) -> None:
        self.aborted = True


class Pipe:
    """Two links joined by transports whose delivery the test decides."""

    def __init__(self, clock: Clock, left: Dispatch, right: Dispatch) -> None:
        self.clock = clock
        self.left = Link(dispatch=left, clock=clock, dialled=True)
        self.right = Link(dispatch=right, clock=clock, dialled=False)
        self.cut_to_right = False
        self.cut_to_left = False
        self._lost = False
        self.left.makeConnection(PipeTransport())
        self.right.makeConnection(PipeTransport())
        self.pump()

    def pump(self) -> None:
        """Deliver until nothing is left to deliver."""
        moved = True
        while moved and not self._lost:
            moved = self._move(self.left, self.right, self.cut_to_right)
            moved |= self._move(self.right, self.left, self.cut_to_left)
            self._settle_aborts()

    def advance(self, seconds: float, step: float = 0.05) -> None:
        """Let time pass, delivering as it does."""
        elapsed = 0.0
        while elapsed < seconds:
            self.clock.advance(step)
            self.pump()
            elapsed += step

    def _move(self, source: Link, target: Link, cut: bool) -> bool:
        transport: Any = source.transport
        written = transport.value()
        transport.clear()
        if not written or cut:
            return False
        target.dataReceived(written)
        return True

    def _settle_aborts(self) -> None:
        transports: list[Any] = [self.left.transport, self.right.transport]
        if any(transport.aborted for transport in transports):
            self._lost = True
            self.left.connectionLost()
            self.right.connectionLost()
