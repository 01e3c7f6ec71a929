"""Timers of one request, cancelled together."""

from collections.abc import Callable
from typing import Any, final

import attrs


@final
@attrs.define
class Timers:
    """Timers that have neither expired nor been cancelled."""

    clock: Any
    _started: list[Any] = attrs.field(factory=list)

    def start(self, seconds: float, action: Callable[[], None]) -> None:
        """Call ``action`` after ``seconds``, at once if that is negative."""
        timer = self.clock.callLater(max(seconds, 0), action)
        self._started.append(timer)

    def cancel(self) -> None:
        """Cancel every timer that has not expired."""
        for timer in self._started:
            if timer.active():
                timer.cancel()
        self._started.clear()

    def are_started(self) -> bool:
        """Tell whether a timer may still expire."""
        return any(timer.active() for timer in self._started)
