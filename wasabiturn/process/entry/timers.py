"""Group of timers that are cancelled together."""

from collections.abc import Callable
from typing import Any, final

import attrs


@final
@attrs.define
class Timers:
    """Timers of one request."""

    clock: Any
    _pending: list[Any] = attrs.field(factory=list)

    def start(self, seconds: float, action: Callable[[], None]) -> None:
        """Call ``action`` after ``seconds``; a negative delay counts as 0."""
        timer = self.clock.callLater(max(seconds, 0), action)
        self._pending.append(timer)

    def cancel(self) -> None:
        """Cancel all pending timers."""
        for timer in self._pending:
            if timer.active():
                timer.cancel()
        self._pending.clear()

    def has_pending(self) -> bool:
        """Return whether a timer is pending."""
        return any(timer.active() for timer in self._pending)
