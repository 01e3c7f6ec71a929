"""Workers with failures, which lasting tasks return to sooner than others.

A worker where run after run fails gets no new tasks for a time that grows. A
lasting task may fail at any time, which tells little of its worker, and hardly
ever ends well, which would end the count.
"""

from collections.abc import Iterable

import attrs

from wasabiturn.batch.acceptance import accepts_work
from wasabiturn.batch.fleet import Worker
from wasabiturn.batch.placing import Candidates
from wasabiturn.batch.state import BatchState

# After the newest failure.
LASTING_AVOIDANCE_SECONDS = 2.0


def find_avoided_candidates(
    candidates: Candidates, workers: Iterable[Worker], batch_state: BatchState
) -> Candidates:
    """Return the workers that accept lasting tasks only, after failures."""
    now = candidates.now
    accepting = [
        worker
        for worker in workers
        if worker.avoided_since + LASTING_AVOIDANCE_SECONDS
        <= now
        < worker.avoided_until
        and accepts_work(worker, batch_state, now)
    ]
    return attrs.evolve(candidates, workers=accepting)
