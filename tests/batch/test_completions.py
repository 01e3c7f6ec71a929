"""Tests of completions of runs that are not the newest of their task."""

import pytest

from tests.batch.jobs_fakes import accept, create_batch_state, end, start, step
from wasabiturn.batch import apply_batch_change
from wasabiturn.batch.completions import complete_newest_run
from wasabiturn.messages.batch import BatchChange
from wasabiturn.messages.kinds import BatchTaskState, JobState, RunEnding

TASK = 'j.0.0.0'


def test_completion_of_an_older_run_ends_the_newer_one() -> None:
    batch_state = create_batch_state(
        accept('j', step(1)),
        start(TASK),
        end(TASK, ending=RunEnding.lost),
        start(TASK, run=2),
    )
    (older_end,) = end(TASK, run=1).ends
    newest_end = complete_newest_run(batch_state, older_end)
    assert newest_end.run == 2
    apply_batch_change(batch_state, BatchChange(ends=[newest_end]))
    assert batch_state.jobs_by_id['j'].state is JobState.done
    assert not batch_state.active_by_name


@pytest.mark.parametrize('ending', [RunEnding.failed, RunEnding.stopped])
def test_other_end_of_an_older_run_leaves_the_newer_one(
    ending: RunEnding,
) -> None:
    batch_state = create_batch_state(
        accept('j', step(1)),
        start(TASK),
        end(TASK, ending=RunEnding.lost),
        start(TASK, run=2),
    )
    (older_end,) = end(TASK, run=1, ending=ending).ends
    assert complete_newest_run(batch_state, older_end) is older_end


def test_lasting_task_goes_on_after_the_end_of_an_older_run() -> None:
    batch_state = create_batch_state(
        accept('j', step(1, lasting=True)),
        start(TASK),
        end(TASK, ending=RunEnding.lost),
        start(TASK, run=2),
    )
    (older_end,) = end(TASK, run=1).ends
    assert complete_newest_run(batch_state, older_end) is older_end
    task = batch_state.tasks_by_name[TASK]
    assert task.state is BatchTaskState.active
