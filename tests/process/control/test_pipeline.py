"""Commit of batch changes through the replicated log."""

from typing import Any

import pytest
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from tests.batch.jobs_fakes import accept, end, start, step
from wasabiturn.batch import BatchState, apply_batch_change, dump_batch_state
from wasabiturn.batch.state.clock import StateClock
from wasabiturn.messages.batch import (
    BatchChange,
    DataCentreMark,
    Routing,
    SettledStart,
)
from wasabiturn.messages.codec import pack
from wasabiturn.messages.kinds import JobState
from wasabiturn.messages.state import Command, Outcome
from wasabiturn.process.control.batch.pipeline import Pipeline, PipelineHooks
from wasabiturn.process.control.member import MAX_COMMAND_BYTES


class FakeReplica:
    """Commits each submitted command at once."""

    def __init__(self) -> None:
        self.stored = BatchState()
        self.commands = 0
        self.largest_bytes = 0

    def submit(self, command: Command) -> Deferred[Outcome]:
        assert command.batch is not None
        apply_batch_change(self.stored, command.batch)
        self.commands += 1
        self.largest_bytes = max(self.largest_bytes, len(pack(command)))
        return succeed(Outcome())


def create_pipeline(fake_replica: Any, clock: Clock) -> Pipeline:
    return Pipeline(
        replica=fake_replica,
        clock=clock,
        batch_state=BatchState(),
        state_clock=StateClock(noted_at=0),
        hooks=PipelineHooks(
            on_flush=lambda: None,
            after_flush=lambda: None,
            on_commit=lambda change: None,
            on_failure=lambda: None,
            before_apply=lambda change: None,
        ),
    )


@pytest.mark.parametrize('versions', [(42, 41), (41, 42), (42, 42)])
def test_highest_of_two_routing_versions_in_one_flush_is_stored(
    versions: tuple[int, int],
) -> None:
    fake_replica, clock = FakeReplica(), Clock()
    pipeline = create_pipeline(fake_replica, clock)
    acknowledged: list[None] = []
    for document, version in enumerate(versions):
        routing = Routing(version=version, document=b'%d' % document)
        recorded = pipeline.record(BatchChange(routing=routing))
        recorded.addCallback(acknowledged.append)
    clock.advance(0)
    assert len(acknowledged) == 2
    assert fake_replica.stored.routing == pipeline.batch_state.routing
    assert fake_replica.stored.routing is not None
    assert fake_replica.stored.routing.version == 42


def test_marks_in_one_flush_are_stored_in_order() -> None:
    fake_replica, clock = FakeReplica(), Clock()
    pipeline = create_pipeline(fake_replica, clock)
    for out in (True, False, True):
        mark = DataCentreMark(data_centre='dc', out=out)
        pipeline.add(BatchChange(marks=[mark]))
    clock.advance(0)
    assert (
        fake_replica.stored.out_data_centres
        == pipeline.batch_state.out_data_centres
    )


def test_committed_state_equals_the_working_copy() -> None:
    fake_replica, clock = FakeReplica(), Clock()
    pipeline = create_pipeline(fake_replica, clock)
    pipeline.add(accept('j', step(1)))
    pipeline.add(start('j.0.0.0'))
    clock.advance(0)
    pipeline.add(end('j.0.0.0'))
    pipeline.add(BatchChange(cancels=['j']))
    clock.advance(0)
    assert dump_batch_state(fake_replica.stored) == dump_batch_state(
        pipeline.batch_state
    )
    assert fake_replica.stored.jobs_by_id['j'].state is JobState.done


def test_settled_starts_cost_no_commit_of_their_own() -> None:
    fake_replica, clock = FakeReplica(), Clock()
    pipeline = create_pipeline(fake_replica, clock)
    pipeline.add(accept('j', step(2)))
    pipeline.add(start('j.0.0.0'))
    clock.advance(0)
    settled = SettledStart(task='j.0.0.0', run=1)
    pipeline.add_to_next(BatchChange(settled=[settled]))
    clock.advance(1)
    assert fake_replica.commands == 1
    pipeline.add(start('j.0.0.1'))
    clock.advance(0)
    assert fake_replica.commands == 2
    assert fake_replica.stored.tasks_by_name['j.0.0.0'].is_settled


def test_many_large_jobs_of_one_turn_are_no_command_that_is_too_large() -> None:
    """Its commit would fail, and the leader stop leading, again and again."""
    fake_replica, clock = FakeReplica(), Clock()
    pipeline = create_pipeline(fake_replica, clock)
    acknowledged: list[None] = []
    routing = Routing(version=1, document=b'x' * 3_500_000)
    for change in (
        BatchChange(routing=routing),
        *[accept(f'{n}', *[step(1, image='i' * 256)] * 700) for n in range(40)],
    ):
        pipeline.record(change).addCallback(acknowledged.append)
    clock.advance(0)
    assert len(acknowledged) == 41
    assert len(fake_replica.stored.jobs_by_id) == 40
    assert fake_replica.largest_bytes < MAX_COMMAND_BYTES
    assert fake_replica.commands < 20


def test_any_number_of_starts_is_committed() -> None:
    fake_replica, clock = FakeReplica(), Clock()
    pipeline = create_pipeline(fake_replica, clock)
    pipeline.add(accept('job', step(60_000)))
    starts = [
        start(f'job.0.0.{index}', worker='i-12345678').starts[0]
        for index in range(60_000)
    ]
    pipeline.commit_planned(starts)
    assert len(fake_replica.stored.active_by_name) == 60_000
    assert fake_replica.largest_bytes < MAX_COMMAND_BYTES
