"""Tests of durations that are learnt from the ends of runs."""

import pytest

from tests.batch.jobs_fakes import (
    accept,
    create_batch_state,
    create_fleet,
    create_worker,
    start,
    step,
)
from wasabiturn.batch import BatchState
from wasabiturn.batch.fleet import Fleet
from wasabiturn.batch.placing.locality.state import (
    LocalityState,
    LocalityTerms,
)
from wasabiturn.batch.placing.run_times import learn_from_ends
from wasabiturn.messages.batch import EndRun
from wasabiturn.messages.kinds import RunEnding


def run_two(**fields: object) -> tuple[Fleet, BatchState]:
    """Return two runs of a step in different racks that work since 0."""
    fleet = create_fleet(create_worker('a'), create_worker('b', rack='r2'))
    fleet.locality = LocalityState(LocalityTerms(slowdown_factor=2))
    batch_state = create_batch_state(
        accept('j', step(2, **fields)),
        start('j.0.0.0', worker='a'),
        start('j.0.0.1', worker='b'),
    )
    for task in batch_state.tasks_by_name.values():
        worker = fleet.worker_of(task)
        assert worker is not None
        worker.allocate(task, 0)
        worker.allocations_by_task[task.name].confirm(0)
    return fleet, batch_state


def learn(
    fleet: Fleet,
    batch_state: BatchState,
    task: str,
    ending: RunEnding = RunEnding.done,
) -> float:
    """Learn of an end after 6 s; return what is expected of the step."""
    end = EndRun(task=task, run=1, ending=ending)
    learn_from_ends(fleet, batch_state, [end], now=6)
    part = batch_state.tasks_by_name[task].part
    return fleet.locality.durations.expect(part)


@pytest.mark.parametrize(
    ('task', 'fields', 'seconds'),
    [
        ('j.0.0.0', {}, 6),
        ('j.0.0.0', {'preferred_rack': 'r1'}, 6),
        ('j.0.0.1', {'preferred_rack': 'r1'}, 3),
        ('j.0.0.0', {'same_rack': True}, 3),
    ],
)
def test_the_slowdown_is_taken_out_of_what_is_learnt(
    task: str, fields: dict[str, object], seconds: float
) -> None:
    fleet, batch_state = run_two(**fields)
    assert learn(fleet, batch_state, task) == pytest.approx(seconds)


@pytest.mark.parametrize('ending', [RunEnding.failed, RunEnding.lost])
def test_only_complete_runs_tell_how_long_a_task_takes(
    ending: RunEnding,
) -> None:
    fleet, batch_state = run_two()
    assert learn(fleet, batch_state, 'j.0.0.0', ending) == pytest.approx(1)


def test_nothing_is_learnt_while_the_feature_is_off() -> None:
    fleet, batch_state = run_two()
    fleet.locality.terms = LocalityTerms()
    assert learn(fleet, batch_state, 'j.0.0.0') == pytest.approx(1)


def test_an_inherited_run_teaches_nothing() -> None:
    """Guards against counting a run from the begin of the new leader."""
    fleet, batch_state = run_two()
    worker = fleet.workers_by_incarnation['a', 1]
    worker.allocations_by_task['j.0.0.0'].is_inherited = True
    assert learn(fleet, batch_state, 'j.0.0.0') == pytest.approx(1)
