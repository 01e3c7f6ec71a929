"""Completions of runs that are not the newest of their task."""

import attrs

from wasabiturn.batch.state import BatchState
from wasabiturn.messages.batch import EndRun
from wasabiturn.messages.kinds import BatchTaskState, RunEnding


def complete_newest_run(batch_state: BatchState, end: EndRun) -> EndRun:
    """Return ``end``, or that of the newest run if an older one completed.

    The task is done, however it came that a newer run was started; that run
    is then no longer wanted, and is stopped.
    """
    task = batch_state.tasks_by_name.get(end.task)
    if task is None or end.run >= task.run or task.step.lasting:
        return end
    is_completion = end.ending is RunEnding.done
    if is_completion and task.state is BatchTaskState.active:
        return attrs.evolve(end, run=task.run)
    return end
