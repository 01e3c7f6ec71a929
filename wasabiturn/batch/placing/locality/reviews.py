"""When the waits of steps are weighed again.

Made for a thousand steps that wait at once: weighing each in every plan would
take most of a plan's time. Free places in a rack are looked for in each plan.
"""

from typing import final

import attrs

from wasabiturn.batch.placing.locality.state import Wait, WaitInputs

# Expectations change with each end of a run, but not by much.
REVIEW_SECONDS = 0.25
# Added for each step that waits, so that each has its turn.
REVIEW_SECONDS_PER_WAIT = 0.002
MAX_REVIEWS_PER_PLAN = 50
# Steps that are weighed for the first time; the others wait for the next plan.
MAX_FIRST_REVIEWS_PER_PLAN = 100


@final
@attrs.define
class Reviews:
    """The reviews of one plan."""

    now: float
    waits: int
    # The wait that was found due last.
    _due: Wait | None = None
    _count: int = 0
    _first_count: int = 0

    def is_due(self, wait: Wait | None, is_rack_fresh: bool) -> bool:
        """Return whether to weigh a wait, or a step without one, now."""
        if wait is None:
            self._first_count += 1
            return self._first_count <= MAX_FIRST_REVIEWS_PER_PLAN
        if wait is self._due:
            return True
        if not is_rack_fresh or self.now >= wait.due_at or not wait.held:
            return True
        if self.now < wait.review_at or self._count >= MAX_REVIEWS_PER_PLAN:
            return False
        self._count += 1
        self._due = wait
        return True

    def disregard(self, wait: Wait | None) -> None:
        """Take back the review of a step that finds no place anywhere.

        Many of them would keep others from their first review.
        """
        if wait is None:
            self._first_count -= 1
        else:
            wait.declined_at = None

    def schedule(self, wait: Wait, inputs: WaitInputs) -> None:
        """Choose when a wait is weighed again."""
        left = inputs.limit_seconds - inputs.waited_seconds
        if inputs.idle_left_seconds > 0:
            left = min(left, inputs.idle_left_seconds)
        wait.due_at = self.now + left
        interval = REVIEW_SECONDS + REVIEW_SECONDS_PER_WAIT * self.waits
        wait.review_at = self.now + interval
