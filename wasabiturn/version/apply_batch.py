"""Application of changes to batch queues and their jobs."""

from wasabiturn.batch.state.apply import apply_batch_change
from wasabiturn.messages.batch import BatchChange
from wasabiturn.messages.state import Outcome
from wasabiturn.version.state import Effect, State


def change_batch(body: BatchChange, state: State) -> Effect:
    """Apply a change of the batch state.

    The revision does not change, and resource watches are not notified.
    """
    apply_batch_change(state.batch, body)
    return Effect(outcome=Outcome(revision=state.revision))
