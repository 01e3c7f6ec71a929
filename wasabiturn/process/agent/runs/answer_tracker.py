"""When the worker answered last, whatever it answered.

An order that a lost worker gets may be carried out by its next life, so that
its task waits. A worker that was lost a moment ago looks like one with nothing
to say. Its agent therefore sends starts only to a worker that has answered
within moments, and first probes one that has not with a hold that does not
wait. Answers to holds that wait don't count: they may have been on their way
since before the loss.
"""

from typing import Any, final

import attrs

from wasabiturn.process.agent.runs.lease import NEVER

# Saves a probe between orders of one batch.
FRESH_SECONDS = 0.1
# Covers the time after which an order without an answer is repeated.
FRESH_FOR_REPEAT_SECONDS = 0.3
# A worker that leaves a probe unanswered for so long is unresponsive.
UNRESPONSIVE_SECONDS = 0.5
# Less than the time-out of a call, so that the failure of a probe is followed
# by another one.
PROBE_SECONDS = 0.5


@final
@attrs.define
class AnswerTracker:
    """Answers of one life of the worker, and the probe that is under way.

    Times are those of the event loop's ``clock``.
    """

    clock: Any
    answered_at: float = NEVER
    probed_at: float = NEVER
    # When the first probe was sent that no answer has followed.
    unanswered_since: float = NEVER

    def record_answer(self) -> None:
        """Record that the worker has answered something."""
        self.answered_at = self.clock.seconds()
        self.probed_at = NEVER
        self.unanswered_since = NEVER

    def is_fresh(self, *, for_repeat: bool = False) -> bool:
        """Return whether the worker has answered within moments."""
        seconds = FRESH_FOR_REPEAT_SECONDS if for_repeat else FRESH_SECONDS
        return bool(self.clock.seconds() < self.answered_at + seconds)

    def begin_probe(self) -> bool:
        """Record a probe that is sent now, unless one is under way.

        Returns whether to send it.
        """
        now = self.clock.seconds()
        if now < self.probed_at + PROBE_SECONDS:
            return False
        self.probed_at = now
        if self.unanswered_since == NEVER:
            self.unanswered_since = now
        return True

    def is_unresponsive(self) -> bool:
        """Return whether the worker has left a probe unanswered."""
        if self.unanswered_since == NEVER:
            return False
        now = self.clock.seconds()
        return bool(now >= self.unanswered_since + UNRESPONSIVE_SECONDS)
