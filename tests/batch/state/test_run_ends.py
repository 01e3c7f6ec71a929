"""Tests of ends that are listed after their runs were given up."""

import pytest

from tests.batch.jobs_fakes import accept, create_batch_state, end, start, step
from wasabiturn.batch import (
    BatchState,
    apply_batch_change,
    dump_batch_state,
    load_batch_state,
)
from wasabiturn.messages.batch import Step
from wasabiturn.messages.kinds import BatchTaskState, JobState, RunEnding

TASK = 'j.0.0.0'
FAILED = end(TASK, ending=RunEnding.failed)


def create_restarted(declared: Step) -> BatchState:
    """Return a state in which run 1 was given up and run 2 goes on."""
    return create_batch_state(
        accept('j', declared),
        start(TASK),
        end(TASK, ending=RunEnding.lost),
        start(TASK, run=2),
    )


@pytest.mark.parametrize('ending', list(RunEnding))
def test_completion_of_an_older_run_completes_a_task_when_the_newest_ends(
    ending: RunEnding,
) -> None:
    batch_state = create_restarted(step(1))
    apply_batch_change(batch_state, end(TASK, run=1))
    assert batch_state.active_by_name.keys() == {TASK}
    assert batch_state.jobs_by_id['j'].state is JobState.running
    loaded = load_batch_state(dump_batch_state(batch_state))
    apply_batch_change(loaded, end(TASK, run=2, ending=ending))
    assert loaded.jobs_by_id['j'].state is JobState.done


def test_completion_of_an_older_run_completes_a_task_that_waits() -> None:
    batch_state = create_restarted(step(2))
    apply_batch_change(batch_state, end(TASK, run=2, ending=RunEnding.lost))
    apply_batch_change(batch_state, end(TASK, run=1))
    assert batch_state.tasks_by_name[TASK].state is BatchTaskState.done
    assert batch_state.jobs_by_id['j'].waiting_tasks == 1


def test_failure_of_an_older_run_counts_as_an_attempt() -> None:
    batch_state = create_restarted(step(1))
    apply_batch_change(batch_state, FAILED)
    assert batch_state.tasks_by_name[TASK].state is BatchTaskState.active
    apply_batch_change(batch_state, end(TASK, run=2, ending=RunEnding.failed))
    assert batch_state.jobs_by_id['j'].state is JobState.failed


def test_task_whose_attempts_older_runs_used_does_not_start_again() -> None:
    batch_state = create_restarted(step(1))
    apply_batch_change(batch_state, end(TASK, run=2, ending=RunEnding.failed))
    apply_batch_change(batch_state, FAILED)
    apply_batch_change(batch_state, start(TASK, run=3))
    assert batch_state.tasks_by_name[TASK].failures == 1
    batch_state = create_restarted(step(1))
    apply_batch_change(batch_state, FAILED)
    apply_batch_change(batch_state, end(TASK, run=2, ending=RunEnding.lost))
    apply_batch_change(batch_state, start(TASK, run=3))
    apply_batch_change(batch_state, end(TASK, run=2, ending=RunEnding.failed))
    apply_batch_change(batch_state, end(TASK, run=3, ending=RunEnding.lost))
    assert batch_state.jobs_by_id['j'].state is JobState.failed


def test_failure_listed_after_a_run_was_given_up_counts_once() -> None:
    batch_state = create_batch_state(
        accept('j', step(1)),
        start(TASK),
        end(TASK, ending=RunEnding.lost),
        FAILED,
        FAILED,
    )
    assert batch_state.tasks_by_name[TASK].failures == 1
    apply_batch_change(batch_state, start(TASK, run=2))
    loaded = load_batch_state(dump_batch_state(batch_state))
    apply_batch_change(loaded, FAILED)
    assert loaded.tasks_by_name[TASK].failures == 1


def test_end_that_a_new_leader_stores_again_counts_once() -> None:
    batch_state = create_batch_state(
        accept('j', step(1)), start(TASK), FAILED, start(TASK, run=2), FAILED
    )
    assert batch_state.tasks_by_name[TASK].failures == 1


@pytest.mark.parametrize(
    'declared', [step(1, lasting=True, image='s'), step(1, gang=True)]
)
def test_older_runs_of_lasting_tasks_and_gangs_are_passed_over(
    declared: Step,
) -> None:
    batch_state = create_restarted(declared)
    apply_batch_change(batch_state, end(TASK, run=1))
    apply_batch_change(batch_state, FAILED)
    task = batch_state.tasks_by_name[TASK]
    assert not task.is_completed
    assert not task.failures
