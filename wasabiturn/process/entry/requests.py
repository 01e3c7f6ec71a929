"""Admission of callers' requests."""

import itertools
from functools import partial
from http import HTTPStatus
from types import MappingProxyType
from typing import final

from expression import Error, Result

from wasabiturn.conf.sections import EntrySection
from wasabiturn.ids import InstanceName, RequestId
from wasabiturn.messages.kinds import Kind
from wasabiturn.messages.state import Header
from wasabiturn.process.entry.caller import CallerRequest
from wasabiturn.process.entry.claim_calls import ClaimCalls
from wasabiturn.process.entry.exchange import Exchange
from wasabiturn.process.entry.interfaces import RequestHandler
from wasabiturn.process.entry.keyed import MAX_KEYED_BODY_BYTES, KeyedRequest
from wasabiturn.process.entry.memory_room import MemoryRoom, find_body_bytes
from wasabiturn.process.entry.readiness import Readiness
from wasabiturn.process.entry.router import Router
from wasabiturn.request.buffered_body import MAX_BUFFERED_BYTES, BufferedBody
from wasabiturn.request.hop_by_hop import remove_hop_by_hop
from wasabiturn.request.inbound import (
    InboundRequest,
    RequestLine,
    read_inbound,
)
from wasabiturn.request.limits import (
    CONFIGURATION_NAME,
    InFlight,
    Limits,
    admit,
    read_limits,
    release,
)
from wasabiturn.request.refusal import Refusal, refuse_not_run
from wasabiturn.request.retry import earn_retry

RETRY_AFTER_SECONDS = 1
_HEALTH_TARGET = '/-/health'
_READY_TARGET = '/-/ready'
_ENCODING = 'latin-1'
_MS_PER_SECOND = 1000
_STATUS_BY_READINESS = MappingProxyType(
    {True: HTTPStatus.OK, False: HTTPStatus.SERVICE_UNAVAILABLE},
)


@final
class RequestAdmission:
    """Checks each request, then refuses it or creates its handler."""

    def __init__(
        self,
        name: InstanceName,
        section: EntrySection,
        readiness: Readiness,
        router: Router,
        claims: ClaimCalls,
        body_room: MemoryRoom,
    ) -> None:
        """Create the admission of one entry's requests."""
        self._body_room = body_room
        self._name = name
        self._section = section
        self._readiness = readiness
        self._router = router
        self._claims = claims
        self._limits = Limits()
        self._in_flight = InFlight()
        self._numbers = itertools.count(1)

    def refresh(self) -> None:
        """Read the limits from the configuration in the view."""
        view = self._readiness.session.view
        resource = view.resources_by_kind[Kind.configuration].get(
            CONFIGURATION_NAME,
        )
        spec = resource and resource.configuration_spec
        self._limits = read_limits(spec.settings if spec else {})

    def create_handler(self, caller: CallerRequest) -> RequestHandler | None:
        """Return the handler of a request, or ``None`` if it is answered."""
        target = caller.uri.decode(_ENCODING)
        if target in {_HEALTH_TARGET, _READY_TARGET}:
            ready = target == _HEALTH_TARGET or self._readiness.is_ready()
            _answer_probe(caller, _STATUS_BY_READINESS[ready])
            return None
        admitted = self._read(caller, target).bind(
            lambda request: self._check(caller, request),
        )
        if admitted.is_error():
            caller.refuse(admitted.error)
            return None
        return self._start(caller, admitted.ok)

    def _read(
        self,
        caller: CallerRequest,
        target: str,
    ) -> Result[InboundRequest, Refusal]:
        line = RequestLine(
            method=caller.method.decode(_ENCODING),
            target=target,
            peer=caller.peer,
        )
        return read_inbound(
            RequestId(f'{self._name}-{next(self._numbers)}'),
            line,
            remove_hop_by_hop(caller.read_headers()),
            self._section.default_timeout_ms / _MS_PER_SECOND,
            self._router.now(),
        )

    def _check(
        self,
        caller: CallerRequest,
        request: InboundRequest,
    ) -> Result[InboundRequest, Refusal]:
        if not self._router.pool.has_service(request.service_name):
            return Error(
                refuse_not_run(HTTPStatus.NOT_FOUND, 'no such service'),
            )
        if (caller.body_length or 0) > self._section.max_body_bytes:
            return Error(
                refuse_not_run(
                    HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                    'the body is over the limit',
                ),
            )
        if not self._may_run(request):
            return Error(_refuse_for_now('no contact with control'))
        if not self._body_room.has_room(_find_held_bytes(caller, request)):
            return Error(_refuse_for_now('too many bodies are on their way'))
        return admit(
            self._in_flight,
            self._limits,
            request.service_name,
            request.caller,
        ).map(lambda _: request)

    def _may_run(self, request: InboundRequest) -> bool:
        if request.idempotency.idempotent:
            return True
        return self._readiness.session.is_fresh(self._router.now())

    def _start(
        self,
        caller: CallerRequest,
        request: InboundRequest,
    ) -> RequestHandler:
        earn_retry(self._router.find_budget(request.service_name))
        caller.on_done.append(
            partial(
                release,
                self._in_flight,
                request.service_name,
                request.caller,
            ),
        )
        held_bytes = _find_held_bytes(caller, request)
        self._body_room.reserve(held_bytes)
        caller.on_done.append(partial(self._body_room.release, held_bytes))
        if request.idempotency.key is not None:
            return KeyedRequest(request, caller, self._router, self._claims)
        exchange = Exchange(
            request,
            caller,
            self._router,
            BufferedBody(max_bytes=self._section.max_body_bytes),
        )
        exchange.start()
        return exchange


def _find_held_bytes(caller: CallerRequest, request: InboundRequest) -> int:
    """Return the most that is held of the body of a request."""
    is_keyed = request.idempotency.key is not None
    kept_bytes = MAX_KEYED_BODY_BYTES if is_keyed else MAX_BUFFERED_BYTES
    return find_body_bytes(caller.body_length, kept_bytes)


def _refuse_for_now(reason: str) -> Refusal:
    return refuse_not_run(
        HTTPStatus.SERVICE_UNAVAILABLE, reason, RETRY_AFTER_SECONDS
    )


def _answer_probe(caller: CallerRequest, status: HTTPStatus) -> None:
    text = f'{status.phrase}\n'.encode()
    caller.send_head(status, [Header('Content-Length', str(len(text)))])
    caller.send_body(text)
    caller.finish_answer()
