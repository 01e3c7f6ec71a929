"""When the worker answered last, whatever it answered.

An order that a silent worker gets may be carried out by its next life, so that
its task waits. A worker that was lost a moment ago looks like one with nothing
to say. Its agent therefore sends starts only to a worker that has answered
within moments, and asks for a list of its runs first if it has not. Answers to
calls that the worker held don't count: they may have been on their way since
before the loss.
"""

from typing import Any, final

import attrs

from wasabiturn.process.agent.runs.lease import NEVER

# Starts that follow one another are not held up for a question each.
FRESH_SECONDS = 0.1
# A list that is asked for when an order gets no answer still holds when it is
# repeated 0.2 s later; that task waits for the first order anyhow.
FRESH_FOR_REPEAT_SECONDS = 0.3
# A worker that leaves a question unanswered for so long is silent. Calls end
# without an answer after 0.6 s.
SILENT_SECONDS = 0.5
# A question that is unanswered for longer was lost.
ASK_AGAIN_SECONDS = 0.7


@final
@attrs.define
class Pulse:
    """Answers of one life of the worker, and the question that is under way.

    Times are those of the event loop's ``clock``.
    """

    clock: Any
    answered_at: float = NEVER
    asked_at: float = NEVER
    # When the first question was asked that no answer has followed.
    unanswered_since: float = NEVER

    def record_answer(self) -> None:
        """Record that the worker has answered something."""
        self.answered_at = self.clock.seconds()
        self.asked_at = NEVER
        self.unanswered_since = NEVER

    def is_fresh(self, *, for_repeat: bool = False) -> bool:
        """Return whether the worker has answered within moments."""
        seconds = FRESH_FOR_REPEAT_SECONDS if for_repeat else FRESH_SECONDS
        return bool(self.clock.seconds() < self.answered_at + seconds)

    def ask(self) -> bool:
        """Return whether to ask the worker now; no question is under way."""
        now = self.clock.seconds()
        if now < self.asked_at + ASK_AGAIN_SECONDS:
            return False
        self.asked_at = now
        if self.unanswered_since == NEVER:
            self.unanswered_since = now
        return True

    def is_silent(self) -> bool:
        """Return whether the worker has left a question unanswered."""
        if self.unanswered_since == NEVER:
            return False
        now = self.clock.seconds()
        return bool(now >= self.unanswered_since + SILENT_SECONDS)
