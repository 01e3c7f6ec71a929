"""Changes of the replicated state by crashes of workers."""

from wasabiturn.batch.state.batch_state import BatchState
from wasabiturn.batch.state.jobs import Task
from wasabiturn.messages.batch import EndRun, GiveUp
from wasabiturn.messages.kinds import CrashRole, JobState, RunEnding

# With this many crashes a task is a suspect, however long it had worked.
REPEATED_CRASHES = 2
# A task that crashes workers does so some time after its start, which is known
# this exactly. A crash after quite another time has another cause.
SAME_TIME_MS = 1000
# Endings of a run by itself, which show that its task leaves workers alone.
HARMLESS_ENDINGS = frozenset((RunEnding.done, RunEnding.failed))


def count_crash(batch_state: BatchState, task: Task, end: EndRun) -> None:
    """Count a crash against a task, or forget crashes by how its run ended."""
    if end.ending in HARMLESS_ENDINGS:
        _forget_crashes(batch_state, task)
    elif end.crash_role is CrashRole.possible:
        batch_state.mark_suspect(task)
    elif end.crash_role is not CrashRole.none:
        _add_crash(task, end)
        is_suspect = end.crash_role is CrashRole.suspect
        if is_suspect or task.crashes >= REPEATED_CRASHES:
            batch_state.mark_suspect(task)


def clear_task(batch_state: BatchState, task_name: str) -> None:
    """End the suspicion of a task, or forget the crashes of one without.

    One under which several workers had crashed, or that is no suspect any more,
    has worked so long since then that these crashes don't count.
    """
    task = batch_state.tasks_by_name.get(task_name)
    if task is None:
        return
    if task.crashes >= REPEATED_CRASHES or not task.is_suspect:
        _forget_crashes(batch_state, task)
    else:
        batch_state.clear_suspect(task)


def give_up_task(batch_state: BatchState, give_up: GiveUp) -> None:
    """Fail the job of a task under which workers have crashed."""
    task = batch_state.tasks_by_name.get(give_up.task)
    if task is not None and not task.job.is_final:
        batch_state.close_job(task.job, JobState.failed)


def _add_crash(task: Task, end: EndRun) -> None:
    if abs(end.worked_ms - task.worked_ms) > SAME_TIME_MS:
        _reset_crashes(task)
    task.crashes += 1
    if task.agent not in task.crash_agents:
        task.crash_agents.append(task.agent)
    task.late_crashes += int(end.crash_role is CrashRole.bystander)
    task.worked_ms = end.worked_ms


def _forget_crashes(batch_state: BatchState, task: Task) -> None:
    _reset_crashes(task)
    batch_state.clear_suspect(task)


def _reset_crashes(task: Task) -> None:
    task.crashes = 0
    task.late_crashes = 0
    task.crash_agents = []
