"""Checks whether a leader that can serve callers has answered recently."""

from collections.abc import Callable
from typing import Any, final

from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure

from wasabiturn.messages.batch import LeaderStatus
from wasabiturn.messages.kinds import Method
from wasabiturn.messages.link import Nothing
from wasabiturn.process.leader_calls import LeaderCalls
from wasabiturn.utils.logs import create_component_log
from wasabiturn.utils.ticker import Ticker

# Changed limits are in force within 2 s, also if one status is lost.
POLL_INTERVAL_SECONDS = 0.75
STATUS_TIMEOUT_SECONDS = 1.0
# An election takes up to 3 s; an entry should not become unready, and lose its
# callers, during one.
MAX_STATUS_AGE_SECONDS = 3.0
NEVER = float('-inf')

_log = create_component_log('entry')


@final
class LeaderContact:
    """Polls the leader's status and keeps the time of its last answer."""

    def __init__(self, calls: LeaderCalls, clock: Any) -> None:
        """Create the contact without starting to poll."""
        self.on_status: list[Callable[[LeaderStatus], None]] = []
        self._calls = calls
        self._clock = clock
        self._answered_at = NEVER
        self._was_fresh = False
        self._ticker = Ticker(self._request_status, clock)

    def start(self) -> None:
        """Start polling."""
        self._ticker.start(POLL_INTERVAL_SECONDS)

    def drain(self) -> Deferred[None]:
        """Stop polling."""
        self.close()
        return succeed(None)

    def close(self) -> None:
        """Stop polling."""
        if self._ticker.running:
            self._ticker.stop()

    def is_fresh(self) -> bool:
        """Return whether a configured leader answered recently."""
        return bool(
            self._clock.seconds() < self._answered_at + MAX_STATUS_AGE_SECONDS
        )

    def _request_status(self) -> None:
        asked_at = self._clock.seconds()
        asked = self._calls.call(
            Method.leader_status,
            Nothing(),
            LeaderStatus,
            STATUS_TIMEOUT_SECONDS,
        )
        asked.addCallbacks(
            self._handle_status,
            self._handle_failure,
            (asked_at,),
        )

    def _handle_status(self, status: LeaderStatus, asked_at: float) -> None:
        # Calls overlap; a late reply to an earlier one tells nothing new.
        if status.is_configured and asked_at >= self._answered_at:
            self._answered_at = asked_at
            for callback in self.on_status:
                callback(status)
        self._log_change('')

    def _handle_failure(self, failure: Failure) -> None:
        self._log_change(str(failure.value))

    def _log_change(self, error: str) -> None:
        is_fresh = self.is_fresh()
        if is_fresh == self._was_fresh:
            return
        self._was_fresh = is_fresh
        sentence = (
            'leader is answering' if is_fresh else 'no leader is answering'
        )
        _log.event(sentence, answered_at=self._answered_at, error=error)
