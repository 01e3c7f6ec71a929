"""HTTP requests of operators: configure queues and drain data centres."""

from typing import Any, final

import attrs
from twisted.internet.defer import Deferred

from wasabiturn.connection.calls import CallError
from wasabiturn.connection.http_messages import HttpRequest
from wasabiturn.messages.batch import (
    DataCentreMark,
    PutRouting,
    RoutingAnswer,
)
from wasabiturn.messages.kinds import FailureCode, Method
from wasabiturn.messages.link import Nothing
from wasabiturn.platform.http_server import (
    NOT_FOUND,
    OK,
    Response,
)
from wasabiturn.platform.routing import decode_routing
from wasabiturn.process.leader_calls import LeaderCalls
from wasabiturn.utils.logs import create_component_log

CALL_TIMEOUT_SECONDS = 1.5
# Operators move on to another entry after a second, and may then send the
# opposite mark.
MARK_TIMEOUT_SECONDS = 0.9
_PUT_PATH = '/api/Config.Put'
_GET_PATH = '/api/Config.Get'
_DRAIN_BEGIN_PREFIX = '/api/Drain.Begin/'
_DRAIN_FINISH_PREFIX = '/api/Drain.Finish/'

_log = create_component_log('operators')


@final
@attrs.frozen
class OperatorHandler:
    """Translates operators' requests into calls to the leader."""

    calls: LeaderCalls
    data_centres: tuple[str, ...]

    def handle(self, request: HttpRequest) -> Response | Deferred[Response]:
        """Handle one request."""
        path = request.path
        if request.method == 'GET':
            return (
                self._read_routing()
                if path == _GET_PATH
                else _create_not_found(path)
            )
        if path == _PUT_PATH:
            put = PutRouting(routing=decode_routing(request.body))
            return self._send_to_leader(Method.put_routing, put)
        for prefix, out in (
            (_DRAIN_BEGIN_PREFIX, True),
            (_DRAIN_FINISH_PREFIX, False),
        ):
            if path.startswith(prefix):
                return self._mark_data_centre(path.removeprefix(prefix), out)
        return _create_not_found(path)

    def _mark_data_centre(
        self, data_centre: str, out: bool
    ) -> Response | Deferred[Response]:
        if data_centre not in self.data_centres:
            return _create_not_found(data_centre)
        mark = DataCentreMark(data_centre=data_centre, out=out)
        return self._send_to_leader(
            Method.mark_data_centre, mark, MARK_TIMEOUT_SECONDS
        )

    def _send_to_leader(
        self,
        method: Method,
        message: Any,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> Deferred[Response]:
        deferred = self.calls.call(method, message, Nothing, timeout_seconds)
        return deferred.addCallback(lambda _: Response(status=OK))

    def _read_routing(self) -> Deferred[Response]:
        deferred = self.calls.call(
            Method.read_routing,
            Nothing(),
            RoutingAnswer,
            CALL_TIMEOUT_SECONDS,
        )
        return deferred.addCallback(_create_document_response)


def _create_document_response(answer: RoutingAnswer) -> Response:
    if answer.routing is None:
        raise CallError(
            FailureCode.unavailable, 'no routing has been stored yet'
        )
    return Response(status=OK, body=answer.routing.document)


def _create_not_found(target: str) -> Response:
    _log.warning(
        'unknown path or data centre; responding with status 404', place=target
    )
    return Response(status=NOT_FOUND)
