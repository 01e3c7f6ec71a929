"""Graceful stop of an entry."""

from collections.abc import Callable
from typing import Any, final

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from wasabiturn.process.entry.front import CallerFactory
from wasabiturn.utils.logs import create_part_log

POLL_SECONDS = 0.05
# Time for a request that was on its way when the port closed.
IDLE_GRACE_SECONDS = 1.0

_log = create_part_log('entry')


@final
@attrs.define(eq=False)
class Draining:
    """Waits for the balancer, then for what is in flight.

    ``count_in_flight`` counts what no connection of a caller shows: attempts
    and claims that are to be recorded.
    """

    reactor: Any
    callers: CallerFactory
    stop_listening: Callable[[], Any]
    count_in_flight: Callable[[], int]
    drain_seconds: float
    _done: Deferred[None] = attrs.field(factory=Deferred)
    _poll: LoopingCall = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the poll on the loop of this process."""
        self._poll = LoopingCall(self._close_idle)
        self._poll.clock = self.reactor

    def start(self) -> Deferred[None]:
        """Close each connection after its answer; fires when all are done."""
        self.callers.draining = True
        self.reactor.callLater(self.drain_seconds, self._stop_accepting)
        return self._done

    def _stop_accepting(self) -> None:
        self.stop_listening()
        self.reactor.callLater(IDLE_GRACE_SECONDS, self._await_rest)

    def _await_rest(self) -> None:
        finished: Any = self._poll.start(POLL_SECONDS)
        finished.addCallbacks(lambda _: self._finish(), self._done.errback)

    def _close_idle(self) -> None:
        self.callers.close_idle()
        if not self.callers.channels and self.count_in_flight() <= 0:
            self._poll.stop()

    def _finish(self) -> None:
        _log.event('drained')
        self._done.callback(None)
