"""Queues by host and prefix, read from the document that declares them.

The state stores the document alone, so that a configuration is stored and sent
once.
"""

from collections.abc import Callable
from typing import final

from wasabiturn.messages.batch import Queue, Routing

QueueReader = Callable[[bytes], list[Queue]]


@final
class QueueTable:
    """The queues of the routing that was asked for last."""

    def __init__(self, read_queues: QueueReader) -> None:
        """Create an empty table; ``read_queues`` reads a valid document."""
        self._read_queues = read_queues
        self._routing: Routing | None = None
        self._queues_by_host: dict[str, list[Queue]] = {}
        self._service_names: frozenset[str] = frozenset()

    def find_queue(
        self, routing: Routing | None, host: str, path: str
    ) -> Queue | None:
        """Return the queue of ``host`` with the longest prefix of ``path``."""
        self._follow(routing)
        matching = [
            queue
            for queue in self._queues_by_host.get(host, ())
            if path.startswith(queue.prefix)
        ]
        return max(matching, key=_prefix_length, default=None)

    def has_service(self, routing: Routing | None, service_name: str) -> bool:
        """Return whether a configured queue uses the service."""
        self._follow(routing)
        return service_name in self._service_names

    def _follow(self, routing: Routing | None) -> None:
        if routing is self._routing:
            return
        queues = [] if routing is None else self._list_queues(routing)
        queues_by_host: dict[str, list[Queue]] = {}
        for queue in queues:
            queues_by_host.setdefault(queue.host, []).append(queue)
        self._queues_by_host = queues_by_host
        self._service_names = frozenset(
            each.terms.service_name for each in queues
        )
        self._routing = routing

    def _list_queues(self, routing: Routing) -> list[Queue]:
        # Earlier versions stored the queues beside the document.
        return routing.queues or self._read_queues(routing.document)


def _prefix_length(queue: Queue) -> int:
    return len(queue.prefix)
