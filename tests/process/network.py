"""In-memory network between processes that share one virtual clock."""

from typing import Any

from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from wasabiturn.connection.dialer import LinkFactory
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.endpoint import Endpoint

STEP_SECONDS = 0.05


class BufferedTransport(StringTransport):
    """Transport that buffers written bytes until the network delivers them."""

    def __init__(self) -> None:
        super().__init__()
        self.closing = False

    def setTcpNoDelay(self, enabled: bool) -> None:
        pass

    def abortConnection(self) -> None:
        self.closing = True

    def loseConnection(self) -> None:
        self.closing = True


class Connection:
    """In-memory connection; also serves as the Twisted connector."""

    def __init__(self, port: int, client_factory: Any) -> None:
        self.port = port
        self.client_factory = client_factory
        self.client: Any = None
        self.server: Any = None
        self.lost = False

    def open(self, server_factory: Any) -> None:
        self.server = server_factory.buildProtocol(None)
        self.client = self.client_factory.buildProtocol(None)
        for side in (self.server, self.client):
            side.makeConnection(BufferedTransport())

    def disconnect(self) -> None:
        if self.client is not None:
            self.client.transport.closing = True

    def pump(self, is_blackholed: bool) -> bool:
        delivered = False
        for source, target in (
            (self.client, self.server),
            (self.server, self.client),
        ):
            written = source.transport.value()
            source.transport.clear()
            if written and not is_blackholed:
                target.dataReceived(written)
                delivered = True
        return delivered

    def close_if_requested(self) -> None:
        sides = (self.client, self.server)
        if self.lost or not any(side.transport.closing for side in sides):
            return
        self.lost = True
        for side in sides:
            side.connectionLost()
        self.client_factory.clientConnectionLost(self, None)


class Network(Clock):
    """Reactor that all processes of a test share.

    Traffic of a port in ``blackholed_ports`` is dropped without an error.
    """

    def __init__(self) -> None:
        super().__init__()
        self.listeners: dict[int, LinkFactory] = {}
        self.connections: list[Connection] = []
        self.blackholed_ports: set[int] = set()

    def listen(self, port: int, dispatch: Dispatch) -> Endpoint:
        self.listeners[port] = LinkFactory(dispatch, self, dialled=False)
        return Endpoint('127.0.0.1', port)

    def stop_listening(self, port: int) -> None:
        self.listeners.pop(port, None)
        for connection in self.connections:
            if connection.port == port:
                connection.disconnect()
        self.pump()

    def connectTCP(
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float = 30,
    ) -> Connection:
        connection = Connection(port, factory)
        factory.startedConnecting(connection)
        if port in self.blackholed_ports:
            self.callLater(timeout, self._fail, connection)
        elif port in self.listeners:
            self.callLater(0, self._open, connection)
        else:
            self.callLater(0, self._fail, connection)
        return connection

    def run(self, seconds: float) -> None:
        """Advance the clock in steps and deliver pending bytes after each."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.advance(STEP_SECONDS)
            self.pump()

    def pump(self) -> None:
        """Deliver until no bytes are pending."""
        delivered = True
        while delivered:
            delivered = False
            for connection in list(self.connections):
                is_blackholed = connection.port in self.blackholed_ports
                delivered |= connection.pump(is_blackholed)
                connection.close_if_requested()
            self.connections = [
                connection
                for connection in self.connections
                if not connection.lost
            ]

    def _open(self, connection: Connection) -> None:
        if connection.port not in self.listeners:
            self._fail(connection)
            return
        connection.open(self.listeners[connection.port])
        self.connections.append(connection)

    def _fail(self, connection: Connection) -> None:
        connection.client_factory.clientConnectionFailed(connection, None)
