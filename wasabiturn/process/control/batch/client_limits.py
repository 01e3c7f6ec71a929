"""Limits on callers, read from the document that sets them."""

from collections.abc import Callable
from typing import final

from wasabiturn.messages.batch import ClientLimits, Routing

LimitsReader = Callable[[bytes], ClientLimits]


@final
class ClientLimitsTable:
    """The limits of the routing that was asked for last."""

    def __init__(self, read_limits: LimitsReader) -> None:
        """Create an empty table; ``read_limits`` reads a valid document."""
        self._read_limits = read_limits
        self._routing: Routing | None = None
        self._limits: ClientLimits | None = None

    def find(self, routing: Routing | None) -> ClientLimits | None:
        """Return the limits that the routing sets; none without a routing."""
        if routing is not self._routing:
            self._limits = None
            if routing is not None:
                self._limits = self._read_limits(routing.document)
            self._routing = routing
        return self._limits


def read_no_limits(document: bytes) -> ClientLimits:
    """Return no limits, for a group whose configurations set none."""
    return ClientLimits()
