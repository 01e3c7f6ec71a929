"""Tests of the reasons for which the tasks of an idle job wait."""

from collections import Counter
from typing import Any

import pytest

from tests.batch.jobs_fakes import (
    ACCEPTED_MS,
    accept,
    add_run,
    create_batch_state,
    create_fleet,
    create_worker,
    step,
)
from wasabiturn.batch.fleet import Worker
from wasabiturn.batch.placing.candidates import find_candidates
from wasabiturn.batch.placing.forecast import Forecasts
from wasabiturn.batch.placing.interference import Interference, Pressure
from wasabiturn.batch.queueing.ordering import Moment
from wasabiturn.batch.waiting_reasons import (
    AssumedRun,
    Waiting,
    WaitingReason,
    create_view,
    explain_waiting,
)
from wasabiturn.messages.batch import Step

MOMENT = Moment(now=1, wall_ms=ACCEPTED_MS)
TASK = 'j.0.0.0'


def explain(declared: Step, *workers: Worker, **changes: Any) -> Waiting:
    """Explain why the job `j` waits; `changes` are those of its first task."""
    batch_state = create_batch_state(accept('j', declared))
    task = batch_state.tasks_by_name[TASK]
    for name, content in changes.items():
        setattr(task, name, content)
    fleet = create_fleet(*workers)
    interference = Interference({('s', 'f'): Pressure(level=9)})
    held = [TASK] if task.is_bound else []
    for name in held:
        fleet.bound_until_by_task[name] = MOMENT.now + 4
    candidates = find_candidates(
        workers, batch_state, Forecasts(interference), MOMENT.now, held
    )
    view = create_view(batch_state, fleet, candidates, MOMENT)
    return explain_waiting(batch_state.jobs_by_id['j'], view)


def create_avoided() -> Worker:
    worker = create_worker('avoided')
    worker.avoided_until = MOMENT.now + 1
    return worker


def create_interfering() -> Worker:
    worker = create_worker('interfering')
    lasting = step(lasting=True, image='s', millicores=4000, tail_goal_ms=100)
    batch_state = create_batch_state(accept('s', lasting))
    add_run(worker, batch_state.tasks_by_name['s.0.0.0'], figure=33)
    return worker


@pytest.mark.parametrize(
    ('declared', 'worker', 'reason'),
    [
        (step(), create_worker('w'), WaitingReason.turn),
        (step(memory_mb=20_000), create_worker('w'), WaitingReason.no_room),
        (
            step(),
            create_worker('w', leaving=True),
            WaitingReason.no_worker,
        ),
        (
            step(),
            create_worker('w', service_name='other'),
            WaitingReason.no_worker,
        ),
        (step(), create_avoided(), WaitingReason.avoided),
        (
            step(fills=True, image='f', millicores=3000),
            create_interfering(),
            WaitingReason.low_pace,
        ),
        (step(gang=True), create_worker('w'), WaitingReason.gang),
    ],
)
def test_task_waits_for_a_named_reason(
    declared: Step, worker: Worker, reason: WaitingReason
) -> None:
    assert explain(declared, worker).tasks_by_reason == Counter([reason])


def test_tasks_of_one_step_have_different_reasons() -> None:
    waiting = explain(step(3), create_worker('w'), is_bound=True)
    assert waiting.tasks_by_reason == Counter(
        {WaitingReason.held_by_order: 1, WaitingReason.turn: 2}
    )
    assert waiting.held_seconds == 4


def test_suspect_is_told_from_the_others() -> None:
    waiting = explain(step(2), create_worker('w'), is_suspect=True)
    assert waiting.tasks_by_reason == Counter(
        {WaitingReason.suspect: 1, WaitingReason.turn: 1}
    )


def test_run_without_confirmation_is_listed_as_assumed() -> None:
    batch_state = create_batch_state(accept('j', step(2)))
    worker = create_worker('w')
    fleet = create_fleet(worker)
    batch_state.on_start = lambda task: worker.allocate(task, 0)
    task = batch_state.tasks_by_name[TASK]
    task.run, task.worker, task.born_ms = 1, 'w', 1
    batch_state.begin_run(task)
    candidates = find_candidates(
        [worker], batch_state, Forecasts(Interference()), 1
    )
    view = create_view(batch_state, fleet, candidates, MOMENT)
    waiting = explain_waiting(batch_state.jobs_by_id['j'], view)
    assert waiting.assumed_runs == [AssumedRun(TASK, 'w', 1, None)]
