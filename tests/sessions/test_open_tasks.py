"""The number of tasks that the state holds is bounded."""

import pytest

from tests.sessions.batch_fakes import BatchFleet, create_step
from wasabiturn.batch.state import ended_jobs
from wasabiturn.batch.state.ended_jobs import STATUS_SECONDS
from wasabiturn.messages.kinds import JobOutcome, JobState
from wasabiturn.process.control.batch import job_admission
from wasabiturn.standins.batch_worker import SimulatedWork


def test_job_with_which_the_state_would_outgrow_memory_is_refused_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(job_admission, 'MAX_OPEN_TASKS', 10)
    fleet = BatchFleet()
    answers = [fleet.submit(f'j{n}', [create_step(4)]) for n in range(3)]
    outcomes = [answer.outcome for answer in answers]
    assert outcomes == [JobOutcome.ok, JobOutcome.ok, JobOutcome.busy]
    assert fleet.submit('j0', [create_step(4)]).outcome is JobOutcome.ok
    fleet.run_until('j0', JobState.done, seconds=30)
    fleet.run_until('j1', JobState.done, seconds=30)
    assert fleet.submit('j2', [create_step(4)]).outcome is JobOutcome.ok


def test_state_of_an_ended_job_is_kept_and_new_ones_refused_with_a_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ended_jobs, 'MAX_ENDED_JOBS', 1)
    monkeypatch.setattr(ended_jobs, 'MAX_KEPT_JOBS', 3)
    fleet = BatchFleet()
    names = ['j0', 'j1', 'j2']
    for name in names:
        fleet.submit(name, [create_step(1)], SimulatedWork(0.1))
        fleet.run_until(name, JobState.done, seconds=5)
    fleet.run(5)
    assert {fleet.read_state(name) for name in names} == {JobState.done}
    refused = fleet.submit('j3', [create_step(1)])
    assert refused.outcome is JobOutcome.busy
    assert 100_000 < refused.retry_after_ms <= STATUS_SECONDS * 1000
    fleet.run(refused.retry_after_ms / 1000 + 1)
    assert fleet.submit('j3', [create_step(1)]).outcome is JobOutcome.ok
