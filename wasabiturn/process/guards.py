"""Guards of the programs that are set up by a settings file."""

from typing import Any, final

from twisted.protocols.policies import WrappingFactory

from wasabiturn.connection.client_claims import Rank
from wasabiturn.connection.client_guard import (
    ClientBounds,
    ClientGuard,
    create_bounds,
)
from wasabiturn.connection.rejections import RejectionCause
from wasabiturn.process.daemon import Context


def create_instance_bounds(context: Context) -> ClientBounds:
    """Return the bounds of a program on this instance."""
    instance = context.settings.instance
    return create_bounds(instance.memory_mb, instance.max_fds)


def create_guard(context: Context) -> ClientGuard:
    """Create the guard of one program; it counts rejected clients."""

    def count(cause: RejectionCause, rank: Rank) -> None:
        context.metrics.incr(f'clients.rejected.{cause.value}')

    return ClientGuard(context.reactor, create_instance_bounds(context), count)


def limit_connections(site: Any, context: Context) -> Any:
    """Return a factory that bounds the operators' connections to ``site``."""
    bounds = create_instance_bounds(context)
    return _LimitedFactory(site, bounds.reserved_connections)


@final
class _LimitedFactory(WrappingFactory):
    noisy = False

    def __init__(self, site: Any, max_connections: int) -> None:
        super().__init__(site)
        self._max_connections = max_connections

    def buildProtocol(self, addr: Any) -> Any:
        """Build the protocol of a connection, unless there are too many."""
        if len(self.protocols) >= self._max_connections:
            return None
        return super().buildProtocol(addr)
