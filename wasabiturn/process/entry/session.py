"""Interface that an entry needs of its session with the control group."""

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred

from wasabiturn.messages.kinds import Method


class EntrySession(Protocol):
    """Session with the control group."""

    view: Any
    on_change: list[Callable[[], None]]

    def start(self) -> None:
        """Connect and subscribe to the view."""

    def stop(self) -> None:
        """Disconnect."""

    def is_fresh(self, now: float) -> bool:
        """Return whether a quorum confirmed the view recently enough."""

    def call_leader(
        self,
        method: Method,
        message: Any,
        reply_class: type,
        timeout_seconds: float,
    ) -> Deferred[Any]:
        """Call the leader; fail with ``CallError``."""
