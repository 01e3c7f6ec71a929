"""Periodic calls that go on after an unexpected error."""

from collections.abc import Callable
from typing import Any, final

from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from wasabiturn.utils.logs import create_component_log

_log = create_component_log('ticker')


@final
class Ticker:
    """Calls a function at an interval until it is stopped.

    A looping call would end at the first error, and the process would go on
    without the work that it did.
    """

    def __init__(self, callback: Callable[[], Any], clock: Any) -> None:
        """Create a stopped ticker; ``clock`` is the reactor."""
        self._callback = callback
        self._loop = LoopingCall(self._tick)
        self._loop.clock = clock

    @property
    def running(self) -> bool:
        """Return whether the ticker was started and not stopped."""
        return bool(self._loop.running)

    def start(self, interval_seconds: float, now: bool = True) -> None:
        """Start; the first call is made at once if ``now``."""
        self._loop.start(interval_seconds, now=now)

    def stop(self) -> None:
        """Make no more calls."""
        self._loop.stop()

    def _tick(self) -> Deferred[Any]:
        ticked: Deferred[Any] = maybeDeferred(self._callback)
        return ticked.addErrback(self._log_error)

    def _log_error(self, failure: Failure) -> None:
        _log.warning(
            'periodic work failed; it is done again at the next tick',
            work=getattr(self._callback, '__qualname__', ''),
            trace=failure.getTraceback(),
        )
