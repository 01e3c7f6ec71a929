"""What an entry needs of its session with control."""

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred

from wasabiturn.messages.kinds import Method


class EntrySession(Protocol):
    """Session with control."""

    view: Any
    on_change: list[Callable[[], None]]

    def start(self) -> None:
        """Connect and subscribe."""

    def stop(self) -> None:
        """Disconnect."""

    def is_fresh(self, now: float) -> bool:
        """Tell whether a quorum confirmed the view within the period."""

    def call_leader(
        self,
        method: Method,
        message: Any,
        reply_class: type,
        timeout_seconds: float,
    ) -> Deferred[Any]:
        """Call the leader; fails with ``CallError``."""
