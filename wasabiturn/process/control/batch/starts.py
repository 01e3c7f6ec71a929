"""Starts of the runs that the leader has planned."""

import time

from wasabiturn.batch.fleet import Fleet
from wasabiturn.batch.forecast import Forecasts
from wasabiturn.batch.ordering import Moment
from wasabiturn.batch.planning import plan_starts
from wasabiturn.batch.sharing import set_pace
from wasabiturn.messages.batch import BatchChange, StartRun
from wasabiturn.process import exposition
from wasabiturn.process.control.batch.pipeline import Pipeline
from wasabiturn.utils.logs import create_component_log

_MS = 1000

_log = create_component_log('queues')


def wall_clock_ms() -> int:
    """Return the Unix time in milliseconds; it may jump when set."""
    return int(time.time() * _MS)


def start_planned_runs(
    pipeline: Pipeline, fleet: Fleet, forecasts: Forecasts, now: float
) -> None:
    """Plan runs, and commit the start of each."""
    moment = Moment(now=now, wall_ms=wall_clock_ms())
    for start in plan_starts(pipeline.batch_state, fleet, forecasts, moment):
        pipeline.add(BatchChange(starts=[start]))
        _set_initial_pace(fleet, forecasts, start, now)
        exposition.runs.labels('started').inc()
        _log_start(pipeline, start)


def _set_initial_pace(
    fleet: Fleet, forecasts: Forecasts, start: StartRun, now: float
) -> None:
    """Throttle interfering tasks at once, not after the first samples."""
    worker = fleet.find(start.worker, start.born_ms)
    if worker is not None and worker.lasting_millicores:
        set_pace(worker, forecasts.interference, now)


def _log_start(pipeline: Pipeline, start: StartRun) -> None:
    _log.decision(
        'starts run',
        task=start.task,
        run=start.run,
        worker=start.worker,
    )
    if start.task in pipeline.batch_state.suspects_by_name:
        _log.decision('isolates suspect', task=start.task, worker=start.worker)
