"""In-memory pair of links on a virtual clock."""

from typing import Any

from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.link import Link


class PipeTransport(StringTransport):
    """Transport that buffers writes until ``Pipe.pump`` delivers them."""

    def __init__(self) -> None:
        super().__init__()
        self.aborted = False

    def setTcpNoDelay(self, enabled: bool) -> None:
        pass

    def abortConnection(self) -> None:
        self.aborted = True


class Pipe:
    """Two connected links; the test decides when bytes are delivered.

    ``cut_to_right`` and ``cut_to_left`` drop the bytes in one direction.
    """

    def __init__(self, clock: Clock, left: Dispatch, right: Dispatch) -> None:
        self.clock = clock
        self.left = Link(dispatch=left, clock=clock, dialled=True)
        self.right = Link(dispatch=right, clock=clock, dialled=False)
        self.cut_to_right = False
        self.cut_to_left = False
        self._is_closed = False
        self.left.makeConnection(PipeTransport())
        self.right.makeConnection(PipeTransport())
        self.pump()

    def pump(self) -> None:
        """Deliver bytes in both directions until none are left."""
        moved = True
        while moved and not self._is_closed:
            moved = self._move(self.left, self.right, self.cut_to_right)
            moved |= self._move(self.right, self.left, self.cut_to_left)
            self._close_if_aborted()

    def advance(self, seconds: float, step: float = 0.05) -> None:
        """Advance the clock in steps, delivering bytes after each."""
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

    def _close_if_aborted(self) -> None:
        transports: list[Any] = [self.left.transport, self.right.transport]
        if any(transport.aborted for transport in transports):
            self._is_closed = True
            self.left.connectionLost()
            self.right.connectionLost()
