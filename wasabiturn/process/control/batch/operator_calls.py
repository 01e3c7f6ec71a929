"""Handling of operators' calls by the leader: queues and data centres."""

from collections.abc import Callable
from typing import final

import attrs
from twisted.internet.defer import Deferred, succeed

from wasabiturn.batch import BatchState
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.link import Link
from wasabiturn.messages.batch import (
    BatchChange,
    DataCentreMark,
    PutRouting,
    Routing,
    RoutingAnswer,
)
from wasabiturn.messages.kinds import Method
from wasabiturn.messages.link import Nothing
from wasabiturn.process.control.batch.pipeline import Pipeline
from wasabiturn.utils.logs import create_component_log

_log = create_component_log('queues')


@final
@attrs.frozen
class OperatorCallHandler:
    """Handles operators' calls.

    ``require_pipeline`` returns the pipeline of the present term, or raises
    ``CallError`` on a member that does not lead.
    """

    require_pipeline: Callable[[], Pipeline]
    committed_state: Callable[[], BatchState]

    def put_routing(self, link: Link, put: PutRouting) -> Deferred[Nothing]:
        """Store a version of the queues, unless there is a higher one."""
        pipeline = self.require_pipeline()
        version = put.routing.version
        if version <= _version_of(self.committed_state().routing):
            return succeed(Nothing())
        if version <= _version_of(pipeline.batch_state.routing):
            # It is on its way, and is not stored twice.
            return _to_nothing(pipeline.confirm())
        _log.decision('stores routing', version=version)
        return _to_nothing(pipeline.record(BatchChange(routing=put.routing)))

    def read_routing(
        self, link: Link, nothing: Nothing
    ) -> Deferred[RoutingAnswer]:
        """Return the newest version of the queues, which a quorum confirms."""
        confirmed = self.require_pipeline().confirm()
        return confirmed.addCallback(
            lambda _: RoutingAnswer(routing=self.committed_state().routing)
        )

    def mark_data_centre(
        self, link: Link, mark: DataCentreMark
    ) -> Deferred[Nothing]:
        """Take a data centre out of service, or bring it back."""
        pipeline = self.require_pipeline()
        _log.decision(
            'marks data centre', data_centre=mark.data_centre, out=mark.out
        )
        return _to_nothing(pipeline.record(BatchChange(marks=[mark])))


def register_operator_calls(
    dispatch: Dispatch,
    require_pipeline: Callable[[], Pipeline],
    committed_state: Callable[[], BatchState],
) -> None:
    """Register the handlers of operators' calls."""
    handler = OperatorCallHandler(require_pipeline, committed_state)
    dispatch.handle(Method.put_routing, PutRouting, handler.put_routing)
    dispatch.handle(Method.read_routing, Nothing, handler.read_routing)
    # An operator may have sent the opposite elsewhere since.
    dispatch.handle(
        Method.mark_data_centre,
        DataCentreMark,
        handler.mark_data_centre,
        drops_expired=True,
    )


def _version_of(routing: Routing | None) -> int:
    return 0 if routing is None else routing.version


def _to_nothing(recorded: Deferred[None]) -> Deferred[Nothing]:
    return recorded.addCallback(lambda _: Nothing())
