"""Changes of the limits of orders in the replicated state.

See ``order_limits.py``.
"""

from collections.abc import Iterable

from wasabiturn.batch.state.batch_state import BatchState
from wasabiturn.messages.batch import MoveLimit


def move_limits(batch_state: BatchState, limits: Iterable[MoveLimit]) -> None:
    """Move the limits of starts that still are the newest of their tasks."""
    for limit in limits:
        task = batch_state.active_by_name.get(limit.task)
        if task is not None and task.run == limit.run:
            task.order_limit_ms = limit.order_limit_ms


def forget_limits(batch_state: BatchState) -> None:
    """Forget all limits, as a leader takes over that keeps none.

    Leaders of earlier versions take over with an empty change.
    """
    for task in batch_state.active_by_name.values():
        task.order_limit_ms = 0
