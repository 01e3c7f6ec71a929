"""Stand-ins of a backend server and a worker as components of a daemon."""

from contextlib import ExitStack
from typing import final

import attrs
from twisted.internet.defer import Deferred, succeed

from wasabiturn.connection.endpoint import Endpoint
from wasabiturn.messages.state import Capacity
from wasabiturn.process.daemon import Context, listen
from wasabiturn.standins.backend import BackendOptions, StandInBackend
from wasabiturn.standins.worker import StandInWorker, create_worker_site

LOCAL_CORES = 4
LOCAL_MEMORY_MB = 8000


@final
@attrs.define
class WorkerComponent:
    """Runs the stand-in worker on the event loop of its daemon."""

    context: Context
    endpoint: Endpoint
    _stack: ExitStack = attrs.field(factory=ExitStack)

    def start(self) -> None:
        """Listen for requests of the agent."""
        reactor = self.context.reactor
        worker = StandInWorker(
            clock=reactor,
            capacity=Capacity(cores=LOCAL_CORES, memory_mb=LOCAL_MEMORY_MB),
            interference_by_pair={},
        )
        port = listen(reactor, self.endpoint, create_worker_site(worker))
        self._stack.callback(port.stopListening)
        worker.start()
        self._stack.callback(worker.stop)

    def drain(self) -> Deferred[None]:
        """Do nothing: runs of tasks end when their leases expire."""
        return succeed(None)

    def close(self) -> None:
        """Stop listening."""
        self._stack.close()


@final
@attrs.define
class BackendComponent:
    """Runs the stand-in backend server on the event loop of its daemon."""

    context: Context
    endpoint: Endpoint
    announce: Endpoint
    service_name: str
    _stack: ExitStack = attrs.field(factory=ExitStack)

    def start(self) -> None:
        """Listen and announce the backend server to the agent."""
        options = BackendOptions(
            listen=self.endpoint,
            announce=self.announce,
            service=self.service_name,
        )
        backend = StandInBackend(options, self.context.reactor)
        backend.start()
        self._stack.callback(backend.stop)

    def drain(self) -> Deferred[None]:
        """Do nothing: the entry drains first, so no requests arrive."""
        return succeed(None)

    def close(self) -> None:
        """Stop announcing and listening."""
        self._stack.close()
