"""Tests of changes applied to the batch state."""

import pytest

from tests.batch.jobs_fakes import accept, create_batch_state, end, start, step
from wasabiturn.batch import (
    apply_batch_change,
    dump_batch_state,
    load_batch_state,
)
from wasabiturn.batch.state import dump
from wasabiturn.messages.batch import (
    BatchChange,
    BatchDump,
    DataCentreMark,
    JobRecord,
    Routing,
)
from wasabiturn.messages.codec import pack
from wasabiturn.messages.kinds import (
    BatchTaskState,
    JobState,
    RunEnding,
)


def test_job_is_done_when_all_tasks_are_done() -> None:
    batch_state = create_batch_state(accept('j', step(1), step(1, after=[0])))
    job = batch_state.jobs_by_id['j']
    assert job.state is JobState.queued
    apply_batch_change(batch_state, start('j.0.0.0'))
    assert job.state is JobState.running
    assert not job.parts_by_key[0, 1].is_ready()
    apply_batch_change(batch_state, end('j.0.0.0'))
    assert job.parts_by_key[0, 1].is_ready()
    apply_batch_change(batch_state, start('j.0.1.0'))
    apply_batch_change(batch_state, end('j.0.1.0'))
    assert job.state is JobState.done
    assert not batch_state.open_jobs_by_id
    assert not job.tasks_by_name


def test_end_of_another_run_is_ignored() -> None:
    batch_state = create_batch_state(
        accept('j', step(1)), start('j.0.0.0', run=2)
    )
    apply_batch_change(batch_state, end('j.0.0.0', run=1))
    assert batch_state.tasks_by_name['j.0.0.0'].state is BatchTaskState.active


def test_repeated_start_is_ignored() -> None:
    batch_state = create_batch_state(
        accept('j', step(1)), start('j.0.0.0', worker='a')
    )
    apply_batch_change(batch_state, start('j.0.0.0', worker='b'))
    assert batch_state.tasks_by_name['j.0.0.0'].worker == 'a'
    apply_batch_change(batch_state, end('j.0.0.0', ending=RunEnding.lost))
    apply_batch_change(batch_state, start('j.0.0.0', worker='b'))
    assert batch_state.tasks_by_name['j.0.0.0'].state is BatchTaskState.waiting


def test_lost_run_that_completed_finishes_its_task() -> None:
    batch_state = create_batch_state(accept('j', step(1)), start('j.0.0.0'))
    apply_batch_change(batch_state, end('j.0.0.0', ending=RunEnding.lost))
    apply_batch_change(batch_state, end('j.0.0.0'))
    assert batch_state.jobs_by_id['j'].state is JobState.done


def test_only_failures_count_as_attempts() -> None:
    batch_state = create_batch_state(accept('j', step(1)))
    for run, ending in enumerate(
        (
            RunEnding.lost,
            RunEnding.lapsed,
            RunEnding.stopped,
            RunEnding.failed,
            RunEnding.not_started,
        ),
        start=1,
    ):
        apply_batch_change(batch_state, start('j.0.0.0', run=run))
        apply_batch_change(batch_state, end('j.0.0.0', run=run, ending=ending))
    assert batch_state.jobs_by_id['j'].state is JobState.running
    apply_batch_change(batch_state, start('j.0.0.0', run=6))
    apply_batch_change(
        batch_state, end('j.0.0.0', run=6, ending=RunEnding.failed)
    )
    assert batch_state.jobs_by_id['j'].state is JobState.failed


def test_lasting_task_is_requeued_after_any_end() -> None:
    batch_state = create_batch_state(accept('j', step(1, lasting=True)))
    for run in range(1, 6):
        apply_batch_change(batch_state, start('j.0.0.0', run=run))
        apply_batch_change(
            batch_state,
            end('j.0.0.0', run=run, ending=RunEnding.failed),
        )
    assert batch_state.jobs_by_id['j'].state is JobState.running
    assert batch_state.tasks_by_name['j.0.0.0'].state is BatchTaskState.waiting


def test_cancelled_job_keeps_only_running_tasks() -> None:
    batch_state = create_batch_state(accept('j', step(2)), start('j.0.0.0'))
    apply_batch_change(batch_state, BatchChange(cancels=['j']))
    assert list(batch_state.tasks_by_name) == ['j.0.0.0']
    apply_batch_change(batch_state, end('j.0.0.0', ending=RunEnding.stopped))
    assert not batch_state.tasks_by_name
    assert batch_state.jobs_by_id['j'].state is JobState.cancelled


def test_end_of_one_member_completes_a_gang() -> None:
    batch_state = create_batch_state(accept('j', step(3, gang=True)))
    for index in range(3):
        apply_batch_change(batch_state, start(f'j.0.0.{index}'))
    apply_batch_change(batch_state, end('j.0.0.1'))
    assert batch_state.jobs_by_id['j'].state is JobState.done


def test_routing_with_the_highest_version_is_kept() -> None:
    batch_state = create_batch_state(
        BatchChange(routing=Routing(version=7, document=b'7')),
        BatchChange(routing=Routing(version=5, document=b'5')),
        BatchChange(routing=Routing(version=7, document=b'other')),
    )
    assert batch_state.routing is not None
    assert batch_state.routing.document == b'7'


def test_data_centre_is_taken_out_and_brought_back() -> None:
    mark = DataCentreMark(data_centre='dc', out=True)
    batch_state = create_batch_state(BatchChange(marks=[mark]))
    assert batch_state.out_data_centres == {'dc'}
    mark = DataCentreMark(data_centre='dc', out=False)
    apply_batch_change(batch_state, BatchChange(marks=[mark]))
    assert not batch_state.out_data_centres


def test_dump_and_load_keep_the_batch_state() -> None:
    batch_state = create_batch_state(
        accept('a', step(2), step(1, after=[0])),
        accept('b', step(1)),
        accept('c', step(2)),
        start('a.0.0.0'),
        end('a.0.0.0'),
        start('a.0.0.1'),
        end('a.0.0.1', ending=RunEnding.stopped, checkpoint='saved'),
        start('b.0.0.0'),
        end('b.0.0.0'),
        start('c.0.0.1'),
        BatchChange(cancels=['c']),
    )
    loaded = load_batch_state(dump_batch_state(batch_state))
    assert dump_batch_state(loaded) == dump_batch_state(batch_state)
    assert loaded.tasks_by_name.keys() == batch_state.tasks_by_name.keys()
    assert loaded.active_by_name.keys() == batch_state.active_by_name.keys()
    assert loaded.open_jobs_by_id.keys() == batch_state.open_jobs_by_id.keys()
    assert loaded.tasks_by_name['a.0.0.1'].checkpoint == 'saved'
    job, loaded_job = batch_state.jobs_by_id['a'], loaded.jobs_by_id['a']
    assert job.waiting_tasks == loaded_job.waiting_tasks


def test_older_run_completes_a_task_that_waits() -> None:
    batch_state = create_batch_state(
        accept('j', step(1)),
        start('j.0.0.0'),
        end('j.0.0.0', ending=RunEnding.not_started),
        start('j.0.0.0', run=2),
        end('j.0.0.0', run=2, ending=RunEnding.lost),
        end('j.0.0.0', run=1),
    )
    assert batch_state.jobs_by_id['j'].state is JobState.done


def test_older_run_of_a_lasting_task_completes_nothing() -> None:
    batch_state = create_batch_state(
        accept('j', step(1, lasting=True)),
        start('j.0.0.0', run=2),
        end('j.0.0.0', run=2, ending=RunEnding.lost),
        end('j.0.0.0', run=1),
    )
    task = batch_state.tasks_by_name['j.0.0.0']
    assert task.state is BatchTaskState.waiting


def test_end_of_a_gang_member_completes_those_that_were_lost() -> None:
    lost = RunEnding.lost
    batch_state = create_batch_state(
        accept('j', step(3, gang=True)),
        *(start(f'j.0.0.{index}') for index in range(3)),
        end('j.0.0.0', ending=lost),
        end('j.0.0.1', ending=lost),
        end('j.0.0.0'),
    )
    job = batch_state.jobs_by_id['j']
    assert job.state is JobState.done
    assert not job.waiting_tasks
    assert not job.active_by_name


def test_ended_job_keeps_nothing_of_its_tasks() -> None:
    batch_state = create_batch_state(
        accept('j', step(100), step(100)),
        BatchChange(cancels=['j']),
    )
    job = batch_state.jobs_by_id['j']
    assert (job.state, job.accepted.declaration.job_id) == (
        JobState.cancelled,
        'j',
    )
    assert not job.parts_by_key
    assert len(pack(dump_batch_state(batch_state))) < 200


def test_ended_job_of_an_older_snapshot_gets_no_tasks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    change = accept('j', step(100))
    record = JobRecord(accepted=change.accepts[0], state=JobState.done)
    monkeypatch.setattr(dump, 'create_job', lambda _: pytest.fail('tasks'))
    batch_state = load_batch_state(BatchDump(jobs=[record]))
    job = batch_state.jobs_by_id['j']
    assert (job.state, job.accepted.declaration.steps) == (JobState.done, [])
    assert not batch_state.open_jobs_by_id
