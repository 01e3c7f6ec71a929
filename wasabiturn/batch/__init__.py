"""Jobs of several steps that queues take, and where their tasks run."""

from wasabiturn.batch.apply import apply_batch_change
from wasabiturn.batch.dump import dump_batch_state, load_batch_state
from wasabiturn.batch.state import BatchState

__all__ = (
    'BatchState',
    'apply_batch_change',
    'dump_batch_state',
    'load_batch_state',
)
