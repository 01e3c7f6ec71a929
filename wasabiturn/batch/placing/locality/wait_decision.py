"""Whether tasks wait for a place in their rack or start elsewhere.

Made for racks that many jobs want at once. A wait pays off if a place is
expected sooner than the time that it saves; a limit on the whole wait, as in
the ski-rental problem, bounds the cost of wrong expectations. The proof is in
``docs/design/locality.md``.
"""

from wasabiturn.batch.placing.locality.state import (
    WaitDecision,
    WaitInputs,
    WaitOutcome,
)


def decide_wait(inputs: WaitInputs) -> WaitDecision:
    """Return how many tasks of a step wait on."""
    if not inputs.has_rack:
        return WaitDecision(0, WaitOutcome.rack_lost)
    left = inputs.limit_seconds - inputs.waited_seconds
    if left <= 0:
        return WaitDecision(0, WaitOutcome.limit)
    worth = inputs.places_within(min(inputs.saved_seconds, left))
    tasks = min(worth, inputs.tasks)
    reason = WaitOutcome.not_worth
    if tasks and _is_idle_too_long(inputs):
        # One task of a job that runs nothing starts elsewhere.
        tasks = min(tasks, inputs.tasks - 1)
        reason = WaitOutcome.idle
    if inputs.is_whole and tasks < inputs.tasks:
        return WaitDecision(0, reason)
    return WaitDecision(tasks, reason)


def _is_idle_too_long(inputs: WaitInputs) -> bool:
    left = inputs.idle_left_seconds
    return left <= 0 or not inputs.places_within(left)
