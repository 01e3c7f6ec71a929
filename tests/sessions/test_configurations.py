"""Changes of the queues while the leader can commit nothing."""

from typing import Any

import pytest
from twisted.internet.defer import Deferred, maybeDeferred

from tests.sessions.batch_fakes import HOST, PREFIX, BatchFleet, create_step
from wasabiturn.messages.batch import JobCall, PutRouting, Routing
from wasabiturn.messages.kinds import JobAction, JobOutcome, Method
from wasabiturn.messages.link import Nothing
from wasabiturn.messages.state import Command, Outcome


class HeldReplica:
    """Holds back what a replica is told to commit, in order."""

    def __init__(
        self, fleet: BatchFleet, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        self.commands: list[Command] = []
        self._submit = fleet.replica.submit
        self._held: list[Deferred[Outcome]] = []
        self._replica = fleet.replica
        self._monkeypatch = monkeypatch
        monkeypatch.setattr(fleet.replica, 'submit', self._hold)

    def release(self) -> None:
        self._monkeypatch.setattr(self._replica, 'submit', self._submit)
        for command, outcome in zip(self.commands, self._held, strict=True):
            self._submit(command).chainDeferred(outcome)

    def count_routings(self) -> int:
        batches = [each.batch for each in self.commands if each.batch]
        return sum(batch.routing is not None for batch in batches)

    def _hold(self, command: Command) -> Deferred[Outcome]:
        outcome: Deferred[Outcome] = Deferred()
        self.commands.append(command)
        self._held.append(outcome)
        return outcome


def call_leader(fleet: BatchFleet, method: Method, message: Any) -> list[Any]:
    route = fleet.dispatch.calls_by_method[method]
    answers: list[Any] = []
    maybeDeferred(route.handler, None, message).addBoth(answers.append)
    return answers


def test_configuration_sent_again_before_its_commit_is_stored_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = BatchFleet()
    held = HeldReplica(fleet, monkeypatch)
    put = PutRouting(routing=Routing(version=7, document=b'1'))
    first = call_leader(fleet, Method.put_routing, put)
    fleet.run(0.1)
    second = call_leader(fleet, Method.put_routing, put)
    fleet.run(0.5)
    assert (first, second) == ([], [])
    held.release()
    fleet.run(0.1)
    assert (first, second) == ([Nothing()], [Nothing()])
    assert held.count_routings() == 1


def test_uncommitted_configuration_serves_no_queue(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = BatchFleet()
    held = HeldReplica(fleet, monkeypatch)
    call = fleet.create_submission('job', [create_step()])
    empty = PutRouting(routing=Routing(version=7, document=b'none'))
    call_leader(fleet, Method.put_routing, empty)
    fleet.run(0.1)
    before = call_leader(fleet, Method.job, call)
    fleet.run(0.1)
    held.release()
    fleet.run(0.1)
    after = call_leader(fleet, Method.job, call)
    fleet.run(0.1)
    outcomes = [answer.outcome for answer in (*before, *after)]
    assert outcomes == [JobOutcome.ok, JobOutcome.no_queue]


def test_count_after_an_uncommitted_configuration_is_not_of_the_old_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An earlier call that waited was answered by the new one before it."""
    fleet = BatchFleet()
    held = HeldReplica(fleet, monkeypatch)
    empty = PutRouting(routing=Routing(version=7, document=b'none'))
    call_leader(fleet, Method.put_routing, empty)
    fleet.run(0.1)
    count = JobCall(action=JobAction.count, host=HOST, path=PREFIX)
    answers = call_leader(fleet, Method.job, count)
    fleet.run(0.1)
    assert not answers
    held.release()
    fleet.run(0.1)
    assert [answer.outcome for answer in answers] == [JobOutcome.no_queue]


def test_configuration_is_only_read_once_a_quorum_has_confirmed_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The clock of a suspended instance may stand still, and its lease too."""
    fleet = BatchFleet()
    held = HeldReplica(fleet, monkeypatch)
    answers = call_leader(fleet, Method.read_routing, Nothing())
    fleet.run(0.5)
    assert not answers
    held.release()
    fleet.run(0.1)
    assert answers[0].routing.version == 1


@pytest.mark.parametrize(
    ('path', 'outcome'),
    [(f'{PREFIX}job', JobOutcome.no_job), ('/none/', JobOutcome.no_queue)],
)
def test_absence_is_only_told_once_a_quorum_has_confirmed_it(
    path: str, outcome: JobOutcome, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet = BatchFleet()
    held = HeldReplica(fleet, monkeypatch)
    call = JobCall(action=JobAction.read, host=HOST, path=path)
    answers = call_leader(fleet, Method.job, call)
    fleet.run(0.5)
    assert not answers
    held.release()
    fleet.run(0.1)
    assert answers[0].outcome is outcome
