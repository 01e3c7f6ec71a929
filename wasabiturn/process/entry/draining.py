"""Graceful shutdown of an entry."""

from collections.abc import Callable
from typing import Any, final

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from wasabiturn.process.entry.front import CallerFactory
from wasabiturn.utils.logs import create_component_log

POLL_INTERVAL_SECONDS = 0.05
# Delay for requests still in transit when the port closed.
IDLE_GRACE_SECONDS = 1.0

_log = create_component_log('entry')


@final
@attrs.define(eq=False)
class Drainer:
    """Closes the port and waits for requests in flight.

    The port stays open for ``drain_seconds``, so that the load balancer can
    take the entry out first.
    """

    reactor: Any
    callers: CallerFactory
    stop_listening: Callable[[], Any]
    # Counts work that may outlast the callers' connections: attempts, and
    # claims and answers not yet committed.
    count_in_flight: Callable[[], int]
    drain_seconds: float
    _done: Deferred[None] = attrs.field(factory=Deferred)
    _poll: LoopingCall = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the polling loop on the given reactor."""
        self._poll = LoopingCall(self._close_idle)
        self._poll.clock = self.reactor

    def start(self) -> Deferred[None]:
        """Start the shutdown; fire when nothing is in flight any more."""
        self.callers.draining = True
        self.reactor.callLater(self.drain_seconds, self._stop_accepting)
        return self._done

    def _stop_accepting(self) -> None:
        self.stop_listening()
        self.reactor.callLater(IDLE_GRACE_SECONDS, self._await_in_flight)

    def _await_in_flight(self) -> None:
        finished: Any = self._poll.start(POLL_INTERVAL_SECONDS)
        finished.addCallbacks(lambda _: self._finish(), self._done.errback)

    def _close_idle(self) -> None:
        self.callers.close_idle()
        if not self.callers.channels and self.count_in_flight() <= 0:
            self._poll.stop()

    def _finish(self) -> None:
        _log.event('entry drained')
        self._done.callback(None)
