"""Whether an entry has been in touch with a leader that serves callers."""

from typing import Any, final

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from wasabiturn.messages.batch import LeaderStatus
from wasabiturn.messages.kinds import Method
from wasabiturn.messages.link import Nothing
from wasabiturn.process.leader_calls import LeaderCalls
from wasabiturn.utils.logs import create_part_log

ASK_SECONDS = 1.0
# An election takes up to this; an entry that is not ready loses its callers.
FRESH_SECONDS = 3.0
NEVER = float('-inf')

_log = create_part_log('entry')


@final
class LeaderContact:
    """Asks the leader for its status, and knows when it last answered."""

    def __init__(self, calls: LeaderCalls, clock: Any) -> None:
        """Create the contact; ``start`` begins to ask."""
        self._calls = calls
        self._clock = clock
        self._answered_at = NEVER
        self._was_fresh = False
        self._ticker = LoopingCall(self._ask)
        self._ticker.clock = clock

    def start(self) -> None:
        """Begin to ask."""
        self._ticker.start(ASK_SECONDS)

    def drain(self) -> Deferred[None]:
        """Stop asking."""
        self.close()
        return succeed(None)

    def close(self) -> None:
        """Stop asking."""
        if self._ticker.running:
            self._ticker.stop()

    def is_fresh(self) -> bool:
        """Tell whether a configured leader answered lately."""
        return bool(self._clock.seconds() < self._answered_at + FRESH_SECONDS)

    def _ask(self) -> None:
        asked_at = self._clock.seconds()
        asked = self._calls.call(
            Method.leader_status,
            Nothing(),
            LeaderStatus,
            ASK_SECONDS,
        )
        asked.addCallbacks(
            self._take_status,
            self._miss_status,
            (asked_at,),
        )

    def _take_status(self, status: LeaderStatus, asked_at: float) -> None:
        if status.is_configured:
            self._answered_at = asked_at
        self._note_change('')

    def _miss_status(self, failure: Failure) -> None:
        self._note_change(str(failure.value))

    def _note_change(self, error: str) -> None:
        is_fresh = self.is_fresh()
        if is_fresh == self._was_fresh:
            return
        self._was_fresh = is_fresh
        sentence = 'leader answers' if is_fresh else 'no leader answers'
        _log.event(sentence, answered_at=self._answered_at, error=error)
