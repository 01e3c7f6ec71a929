"""Changes of the book on their way through the log."""

from typing import Any

import pytest
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from tests.batch.jobs_fakes import accept, end, start, step
from wasabiturn.batch import BatchState, apply_batch_change, dump_batch_state
from wasabiturn.messages.batch import BatchChange, DataCentreMark, Routing
from wasabiturn.messages.kinds import JobState
from wasabiturn.messages.state import Command, Outcome
from wasabiturn.process.control.batch.pipeline import Pipeline


class Log:
    """Commits at once what is submitted."""

    def __init__(self) -> None:
        self.stored = BatchState()
        self.commands = 0

    def submit(self, command: Command) -> Deferred[Outcome]:
        assert command.batch is not None
        apply_batch_change(self.stored, command.batch)
        self.commands += 1
        return succeed(Outcome())


def create_pipeline(log: Any, clock: Clock) -> Pipeline:
    return Pipeline(
        replica=log,
        clock=clock,
        batch_state=BatchState(),
        on_flush=lambda: None,
        on_commit=lambda change: None,
        on_failure=lambda: None,
    )


@pytest.mark.parametrize('versions', [(42, 41), (41, 42), (42, 42)])
def test_of_two_versions_in_one_turn_the_highest_is_stored(
    versions: tuple[int, int],
) -> None:
    log, clock = Log(), Clock()
    pipeline = create_pipeline(log, clock)
    acknowledged: list[None] = []
    for document, version in enumerate(versions):
        routing = Routing(version=version, document=b'%d' % document)
        recorded = pipeline.record(BatchChange(routing=routing))
        recorded.addCallback(acknowledged.append)
    clock.advance(0)
    assert len(acknowledged) == 2
    assert log.stored.routing == pipeline.batch_state.routing
    assert log.stored.routing is not None
    assert log.stored.routing.version == 42


def test_marks_of_one_turn_are_stored_in_order() -> None:
    log, clock = Log(), Clock()
    pipeline = create_pipeline(log, clock)
    for out in (True, False, True):
        mark = DataCentreMark(data_centre='dc', out=out)
        pipeline.add(BatchChange(marks=[mark]))
    clock.advance(0)
    assert log.stored.out_data_centres == pipeline.batch_state.out_data_centres


def test_what_is_stored_is_what_was_decided_in_order() -> None:
    log, clock = Log(), Clock()
    pipeline = create_pipeline(log, clock)
    pipeline.add(accept('j', step(1)))
    pipeline.add(start('j.0.0.0'))
    clock.advance(0)
    pipeline.add(end('j.0.0.0'))
    pipeline.add(BatchChange(cancels=['j']))
    clock.advance(0)
    assert dump_batch_state(log.stored) == dump_batch_state(
        pipeline.batch_state
    )
    assert log.stored.jobs_by_id['j'].state is JobState.done
