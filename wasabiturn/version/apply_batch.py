"""Application of changes of queues and their jobs."""

from wasabiturn.batch.apply import apply_batch_change
from wasabiturn.messages.batch import BatchChange
from wasabiturn.messages.state import Outcome
from wasabiturn.version.state import Effect, State


def change_batch(body: BatchChange, state: State) -> Effect:
    """Apply a change of the book; no watch of resources sees it."""
    apply_batch_change(state.batch, body)
    return Effect(outcome=Outcome(revision=state.revision))
