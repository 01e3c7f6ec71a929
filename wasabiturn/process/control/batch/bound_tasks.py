"""The leader at work on tasks that open orders bind to a worker."""

from wasabiturn.batch import BatchState
from wasabiturn.batch.fleet import Fleet, Worker
from wasabiturn.batch.orders.bindings import find_resumed_runs, release_tasks
from wasabiturn.messages.batch import BatchChange, EndRun
from wasabiturn.messages.kinds import BatchTaskState
from wasabiturn.process import exposition
from wasabiturn.process.control.batch.pipeline import Pipeline
from wasabiturn.utils.logs import create_component_log

_log = create_component_log('queues')


def report_bound_tasks(
    fleet: Fleet, batch_state: BatchState, ends: list[EndRun], now: float
) -> None:
    """Log and count the tasks that the ends of runs have bound."""
    for end in ends:
        task = batch_state.tasks_by_name.get(end.task)
        until = fleet.bound_until_by_task.get(end.task)
        if task is None or until is None or not end.has_open_order:
            continue
        if task.state is not BatchTaskState.waiting:
            continue
        exposition.bound_tasks.labels('bound').inc()
        _log.decision(
            'task is bound to a worker name',
            task=end.task,
            run=end.run,
            worker=task.worker,
            seconds=until - now,
        )


def release_bound_tasks(
    fleet: Fleet, batch_state: BatchState, lease_seconds: float, now: float
) -> None:
    """Release the tasks whose orders have expired.

    No run that an order has begun goes on for ``lease_seconds`` without a lease
    of this leader.
    """
    for task in release_tasks(fleet, batch_state, lease_seconds, now):
        exposition.bound_tasks.labels('released').inc()
        _log.decision(
            'task is no longer bound', task=task.name, worker=task.worker
        )


def resume_runs(pipeline: Pipeline, worker: Worker, now: float) -> None:
    """Go on with the runs of bound tasks that late orders have begun."""
    for start in list(find_resumed_runs(worker, pipeline.batch_state)):
        worker.unexpected_runs_by_task.pop(start.task)
        pipeline.add(BatchChange(starts=[start]))
        worker.allocations_by_task[start.task].confirm(now)
        exposition.bound_tasks.labels('resumed').inc()
        _log.decision(
            'resumes run that a late order began',
            task=start.task,
            run=start.run,
            worker=start.worker,
        )
