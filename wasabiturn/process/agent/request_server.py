"""Serve requests that entries send, each on its own stream."""

from typing import Any, final

import attrs

from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.link import Link
from wasabiturn.connection.streams import Stream
from wasabiturn.ids import ClaimId, IncarnationId, ServiceName
from wasabiturn.messages.codec import pack
from wasabiturn.messages.kinds import AgentClaimState, Method, Verdict
from wasabiturn.messages.session import (
    ClaimVerdict,
    RefuseClaim,
    RequestHead,
    ResponseHead,
)
from wasabiturn.process.agent.backends import Backends
from wasabiturn.process.agent.local_backend import LocalBackend
from wasabiturn.request.served import create_served_request
from wasabiturn.utils.logs import create_component_log

REFUSAL_RETRY_SECONDS = 0.05
MILLISECONDS = 1000

_log = create_component_log('admission')


@final
@attrs.define
class RequestServer:
    """Handles ``Method.serve`` and ``Method.refuse_claim``.

    ``closed_because`` is the reason why new work is refused; it is empty
    while new work is accepted.
    """

    backends: Backends
    reactor: Any
    incarnation: IncarnationId
    closed_because: str = ''

    def register(self, dispatch: Dispatch) -> None:
        """Register the handlers on ``dispatch``."""
        dispatch.handle_stream(Method.serve, RequestHead, self.serve)
        dispatch.handle(Method.refuse_claim, RefuseClaim, self.refuse_claim)

    def serve(self, link: Link, head: RequestHead, stream: Stream) -> None:
        """Admit a request, or refuse it if it may not run here."""
        backend = self._find_backend(head)
        if isinstance(backend, str):
            self._refuse(head, stream, Verdict.not_run, backend)
            return
        verdict = self._register_claim(head)
        if verdict is not None:
            self._refuse(head, stream, verdict, 'claim may not run here')
            return
        self._admit(backend, head, stream)

    def refuse_claim(self, link: Link, message: RefuseClaim) -> ClaimVerdict:
        """Refuse a claim permanently unless this incarnation has seen it."""
        if message.agent_incarnation != self.incarnation:
            return ClaimVerdict(state=AgentClaimState.unknown)
        claim_id = ClaimId(message.claim_id)
        state = self.backends.claims.refuse(claim_id)
        _log.decision(
            'claim refusal requested', claim=claim_id, chosen=state.name
        )
        return ClaimVerdict(state=state)

    def _find_backend(self, head: RequestHead) -> LocalBackend | str:
        if self.closed_because:
            return self.closed_because
        backend = self.backends.find(ServiceName(head.service_name))
        return backend or 'no backend server of the service is here'

    def _register_claim(self, head: RequestHead) -> Verdict | None:
        if not head.claim_id:
            return None
        return self.backends.claims.admit(ClaimId(head.claim_id))

    def _admit(
        self,
        backend: LocalBackend,
        head: RequestHead,
        stream: Stream,
    ) -> None:
        request = create_served_request(
            self.backends.next_ticket(),
            head,
            stream,
            backend,
            self.reactor,
        )
        backend.requests_by_ticket[request.ticket] = request
        stream.attach(request)

    def _refuse(
        self,
        head: RequestHead,
        stream: Stream,
        verdict: Verdict,
        reason: str,
    ) -> None:
        _log.decision(
            'request refused',
            request=head.request_id,
            service=head.service_name,
            verdict=verdict.name,
            chosen=reason,
        )
        response = ResponseHead(
            verdict=verdict,
            reason=reason,
            retry_after_ms=REFUSAL_RETRY_SECONDS * MILLISECONDS,
        )
        stream.attach(_DiscardingReceiver(stream))
        stream.write(pack(response))
        stream.end()


@final
@attrs.frozen
class _DiscardingReceiver:
    """Discards the rest of a request that was refused."""

    stream: Stream

    def data_received(self, chunk: bytes) -> None:
        """Discard bytes of the body."""
        self.stream.consumed(len(chunk))

    def end_received(self) -> None:
        """Ignore the end of the body."""

    def reset_received(self, reason: str) -> None:
        """Ignore that the entry has reset the stream."""

    def writable(self) -> None:
        """Ignore that the stream can be written to."""
