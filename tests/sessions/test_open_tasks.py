"""The number of tasks that the state holds is bounded."""

import pytest

from tests.sessions.batch_fakes import BatchFleet, create_step
from wasabiturn.messages.kinds import JobOutcome, JobState
from wasabiturn.process.control.batch import job_calls


def test_job_with_which_the_state_would_outgrow_memory_is_refused_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(job_calls, 'MAX_OPEN_TASKS', 10)
    fleet = BatchFleet()
    answers = [fleet.submit(f'j{n}', [create_step(4)]) for n in range(3)]
    outcomes = [answer.outcome for answer in answers]
    assert outcomes == [JobOutcome.ok, JobOutcome.ok, JobOutcome.busy]
    assert fleet.submit('j0', [create_step(4)]).outcome is JobOutcome.ok
    fleet.run_until('j0', JobState.done, seconds=30)
    fleet.run_until('j1', JobState.done, seconds=30)
    assert fleet.submit('j2', [create_step(4)]).outcome is JobOutcome.ok
