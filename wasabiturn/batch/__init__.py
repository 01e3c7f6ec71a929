"""Multi-step batch jobs of queues, and the scheduling of their tasks.

A *lasting* task runs until it is stopped, and may have a goal for its tail
latency. A *filling* task is best effort: it is paced to use only the CPU that
other tasks on its worker leave idle. A *gang* is a step whose tasks run only
together.
"""

from wasabiturn.batch.state.apply import apply_batch_change
from wasabiturn.batch.state.batch_state import BatchState
from wasabiturn.batch.state.dump import (
    copy_in_slices,
    dump_batch_state,
    load_batch_state,
)

__all__ = (
    'BatchState',
    'apply_batch_change',
    'copy_in_slices',
    'dump_batch_state',
    'load_batch_state',
)
