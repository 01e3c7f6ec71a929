"""HTTP of operators: queues put in force, data centres taken out."""

from typing import Any, final

import attrs
from twisted.internet.defer import Deferred
from twisted.web.server import Request

from wasabiturn.connection.calls import CallError
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
    Reply,
    method_of,
    path_of,
)
from wasabiturn.platform.routing import decode_routing
from wasabiturn.process.leader_calls import LeaderCalls
from wasabiturn.utils.logs import create_part_log

CALL_SECONDS = 1.5
_PUT_PATH = '/api/Config.Put'
_GET_PATH = '/api/Config.Get'
_TAKE_OUT_PREFIX = '/api/Drain.Begin/'
_BRING_BACK_PREFIX = '/api/Drain.Finish/'

_log = create_part_log('operators')


@final
@attrs.frozen
class OperatorDesk:
    """Turns operators' requests into calls to the leader, and back."""

    calls: LeaderCalls
    data_centres: tuple[str, ...]

    def handle(self, request: Request, body: bytes) -> Reply | Deferred[Reply]:
        """Handle one request."""
        path = path_of(request)
        if method_of(request) == 'GET':
            return self._read() if path == _GET_PATH else _no_such(path)
        if path == _PUT_PATH:
            put = PutRouting(routing=decode_routing(body))
            return self._order(Method.put_routing, put)
        for prefix, out in (
            (_TAKE_OUT_PREFIX, True),
            (_BRING_BACK_PREFIX, False),
        ):
            if path.startswith(prefix):
                return self._mark(path.removeprefix(prefix), out)
        return _no_such(path)

    def _mark(self, data_centre: str, out: bool) -> Reply | Deferred[Reply]:
        if data_centre not in self.data_centres:
            return _no_such(data_centre)
        mark = DataCentreMark(data_centre=data_centre, out=out)
        return self._order(Method.mark_data_centre, mark)

    def _order(self, method: Method, message: Any) -> Deferred[Reply]:
        asked = self.calls.call(method, message, Nothing, CALL_SECONDS)
        return asked.addCallback(lambda _: Reply(status=OK))

    def _read(self) -> Deferred[Reply]:
        asked = self.calls.call(
            Method.read_routing,
            Nothing(),
            RoutingAnswer,
            CALL_SECONDS,
        )
        return asked.addCallback(_to_document)


def _to_document(answer: RoutingAnswer) -> Reply:
    if answer.routing is None:
        raise CallError(FailureCode.unavailable, 'there is no routing yet')
    return Reply(status=OK, body=answer.routing.document)


def _no_such(place: str) -> Reply:
    _log.warning('request for an unknown place', place=place)
    return Reply(status=NOT_FOUND)
