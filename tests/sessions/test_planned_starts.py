"""Planned starts beside workers that shrink, commits that fail, and errors."""

from collections.abc import Iterator
from typing import Any

import pytest
from twisted.internet.defer import Deferred, fail, maybeDeferred
from twisted.python.failure import Failure

from tests.sessions.batch_fakes import BatchFleet, create_step
from tests.sessions.test_offered_starts import LONG_WORK, forget_receipts
from wasabiturn.messages.batch import StartRun
from wasabiturn.messages.kinds import Method
from wasabiturn.messages.state import Command, Outcome
from wasabiturn.process.control.batch import starts
from wasabiturn.standins.batch_worker import SimulatedWork
from wasabiturn.version.replica import NotLeaderError


def count_started(fleet: BatchFleet) -> int:
    return len({task for _, task, *_ in fleet.run_starts})


def start_fleet(
    workers: int, monkeypatch: pytest.MonkeyPatch, is_earlier_version: bool
) -> BatchFleet:
    """Return a fleet whose agents may be of an earlier version."""
    fleet = BatchFleet(workers=workers)
    if is_earlier_version:
        for agent in fleet.agents:
            forget_receipts(agent, monkeypatch)
    fleet.run(1.5)
    return fleet


def change_capacity(fleet: BatchFleet, millicores: int) -> None:
    for agent in fleet.agents:
        agent.worker.change_capacity(millicores=millicores)
        agent.announce()


@pytest.mark.parametrize('changes_leader', [False, True])
@pytest.mark.parametrize('delay_seconds', [0.02, 0.08])
def test_start_that_was_withdrawn_while_it_was_offered_begins_later(
    delay_seconds: float, changes_leader: bool
) -> None:
    fleet = BatchFleet(workers=1)
    fleet.run(1.6)
    fleet.agents[0].notice_delay_seconds = delay_seconds
    fleet.submit('j', [create_step(2, millicores=500)], LONG_WORK)
    change_capacity(fleet, 400)
    fleet.run(0.3)
    if changes_leader:
        fleet.change_leader(0.2)
    change_capacity(fleet, 4000)
    fleet.run(10)
    assert count_started(fleet) == 2


@pytest.mark.parametrize('is_earlier_version', [False, True])
def test_commit_of_starts_that_fails_at_once_ends_the_term(
    monkeypatch: pytest.MonkeyPatch, is_earlier_version: bool
) -> None:
    fleet = start_fleet(1, monkeypatch, is_earlier_version)
    refuse_first_starts(fleet)
    submit_until_answered(fleet, 'j')
    fleet.run(4)
    assert count_started(fleet) == 2


def refuse_first_starts(fleet: BatchFleet) -> None:
    submit = fleet.replica.submit
    refused: list[Command] = []

    def submit_or_refuse(command: Command) -> Deferred[Outcome]:
        if refused or command.batch is None or not command.batch.starts:
            return submit(command)
        refused.append(command)
        return fail(NotLeaderError(None))

    fleet.replica.submit = submit_or_refuse  # type: ignore[method-assign]


def submit_until_answered(fleet: BatchFleet, job_id: str) -> None:
    """Submit a job with two tasks, again after each error, for 2 s."""
    call = fleet.create_submission(
        job_id, [create_step(2, millicores=500)], SimulatedWork(60)
    )
    answers: list[Any] = [Failure(NotLeaderError(None))]
    for _ in range(20):
        if isinstance(answers[-1], Failure):
            route = fleet.dispatch.calls_by_method[Method.job]
            pending = maybeDeferred(route.handler, None, call)
            pending.addBoth(answers.append)
        fleet.run(0.1)


@pytest.mark.parametrize('is_earlier_version', [False, True])
def test_what_was_planned_before_an_error_starts(
    monkeypatch: pytest.MonkeyPatch, is_earlier_version: bool
) -> None:
    fleet = start_fleet(1, monkeypatch, is_earlier_version)
    plan_starts = starts.plan_starts

    def plan_and_fail(*arguments: Any) -> Iterator[StartRun]:
        yield from plan_starts(*arguments)
        raise ValueError('a part that cannot be planned')

    monkeypatch.setattr(starts, 'plan_starts', plan_and_fail)
    fleet.submit('j', [create_step(3, millicores=500)], LONG_WORK)
    fleet.run(5)
    assert count_started(fleet) == 3


@pytest.mark.parametrize('is_earlier_version', [False, True])
def test_gang_that_an_error_left_in_part_starts_with_the_next_plan(
    monkeypatch: pytest.MonkeyPatch, is_earlier_version: bool
) -> None:
    fleet = start_fleet(2, monkeypatch, is_earlier_version)
    plan_starts = starts.plan_starts
    failed: list[StartRun] = []

    def fail_once(*arguments: Any) -> Iterator[StartRun]:
        for start in plan_starts(*arguments):
            yield start
            if not failed:
                failed.append(start)
                raise ValueError('a member that cannot be planned')

    monkeypatch.setattr(starts, 'plan_starts', fail_once)
    step = create_step(2, millicores=3000, gang=True)
    fleet.submit('j', [step], LONG_WORK)
    fleet.run(3)
    assert count_started(fleet) == 2
