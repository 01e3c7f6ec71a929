"""Answers of a leader whose changes aren't committed."""

from typing import Any

import pytest
from twisted.internet.defer import maybeDeferred
from twisted.python.failure import Failure

from tests.sessions.batch_fakes import HOST, PREFIX, BatchFleet, create_step
from wasabiturn.messages.batch import (
    DataCentreMark,
    JobCall,
    PutRouting,
    Routing,
)
from wasabiturn.messages.kinds import JobAction, JobState, Method
from wasabiturn.messages.link import Nothing

NEVER_SECONDS = 1000.0
WITHOUT_QUORUM_SECONDS = 5.0


class FleetWithoutQuorum(BatchFleet):
    """Fleet with a job ``old``; its leader commits nothing any more."""

    def __init__(self) -> None:
        super().__init__()
        self.submit('old', [create_step(1)])
        self.run(0.1)
        self.replica.commit_seconds = NEVER_SECONDS

    def send(self, method: Method, message: Any) -> list[Any]:
        """Call the leader; return the list to which its answer is added."""
        answers: list[Any] = []
        route = self.dispatch.calls_by_method[method]
        maybeDeferred(route.handler, None, message).addBoth(answers.append)
        return answers

    def send_job(self, action: JobAction, job_id: str) -> list[Any]:
        path = f'{PREFIX}{job_id}'
        call = JobCall(action=action, host=HOST, path=path)
        return self.send(Method.job, call)

    def send_change(self, name: str) -> list[Any]:
        if name == 'submit':
            call = self.create_submission('new', [create_step(1)])
            return self.send(Method.job, call)
        if name == 'cancel':
            return self.send_job(JobAction.cancel, 'old')
        if name == 'put':
            put = PutRouting(routing=Routing(version=9, document=b'9'))
            return self.send(Method.put_routing, put)
        mark = DataCentreMark(data_centre='dc-0', out=True)
        return self.send(Method.mark_data_centre, mark)


@pytest.mark.parametrize('change', ['submit', 'cancel', 'put', 'mark'])
def test_change_and_its_repetition_have_no_answer_without_a_quorum(
    change: str,
) -> None:
    fleet = FleetWithoutQuorum()
    answers = fleet.send_change(change)
    fleet.run(WITHOUT_QUORUM_SECONDS)
    repeated = fleet.send_change(change)
    fleet.run(WITHOUT_QUORUM_SECONDS)
    assert not answers
    assert not repeated


def test_what_is_not_committed_is_not_read_without_a_quorum() -> None:
    fleet = FleetWithoutQuorum()
    for change in ('submit', 'cancel', 'put'):
        fleet.send_change(change)
    fleet.run(WITHOUT_QUORUM_SECONDS)
    unknown = fleet.send_job(JobAction.read, 'new')
    routing = fleet.send(Method.read_routing, Nothing())
    known = fleet.send_job(JobAction.read, 'old')
    fleet.run(WITHOUT_QUORUM_SECONDS)
    assert not unknown
    assert not routing
    assert known[0].state is not JobState.cancelled


@pytest.mark.parametrize('change', ['submit', 'cancel', 'put', 'mark'])
def test_change_fails_when_a_leader_without_a_quorum_gives_way(
    change: str,
) -> None:
    fleet = FleetWithoutQuorum()
    answers = fleet.send_change(change)
    fleet.run(1)
    fleet.replica.leads = False
    fleet.run(NEVER_SECONDS + 1)
    assert isinstance(answers[0], Failure)


def test_count_has_no_job_that_is_not_committed() -> None:
    fleet = FleetWithoutQuorum()
    (before,) = fleet.send_job(JobAction.count, '')
    fleet.send_change('submit')
    (after,) = fleet.send_job(JobAction.count, '')
    assert after.pending == before.pending
