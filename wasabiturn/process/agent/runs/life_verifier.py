"""Verification of announced lives by the worker itself.

An announcement may come from another writer, or late from a life that has
ended. The agent follows one only once the worker has answered a hold under the
announced name with the announced time of birth. A refusal proves the name at
most.
"""

from collections.abc import Callable
from typing import Any, final

import attrs
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.python.failure import Failure

from wasabiturn.messages.batch import TokenRequest
from wasabiturn.process.agent.runs.contact import (
    HOLD_RETRY_SECONDS,
    WorkerContact,
)
from wasabiturn.process.agent.runs.order_revoker import OrderRevoker
from wasabiturn.process.agent.runs.port import (
    REASON_FENCE,
    HoldRequest,
    OrderRefusedError,
    OtherIncarnationError,
    RunListing,
    WorkerIdentity,
    WorkerPort,
)
from wasabiturn.process.agent.runs.token_source import (
    TokenAnswer,
    TokenSource,
)
from wasabiturn.utils.logs import create_component_log

# A life that goes on is announced again later.
MAX_ATTEMPTS = 5
# Other writers may announce any number of lives.
MAX_PENDING_LIVES = 8

_log = create_component_log('runs')


@final
@attrs.define
class _PendingLife:
    """Announced life that the worker has neither confirmed nor refuted.

    ``is_named_like_known`` tells that the life that the agent follows has its
    name, so that the leader's answer to a report brings a token.
    ``is_token_granted`` tells that the agent has asked for one.
    """

    identity: WorkerIdentity
    is_named_like_known: bool = False
    is_token_granted: bool = False
    attempts: int = 0


@final
class LifeVerifier:
    """Asks the worker whether it is what an announcement says."""

    def __init__(
        self,
        port: WorkerPort,
        clock: Any,
        contact: WorkerContact,
        revoker: OrderRevoker,
        token_source: TokenSource,
        on_confirmed: Callable[[WorkerIdentity], None],
        on_refuted: Callable[[], None],
    ) -> None:
        """Create the verifier; its holds renew no lease.

        ``on_confirmed`` is called with the newest announcement of a life that
        the worker has confirmed, ``on_refuted`` when another life has answered.
        """
        self._port = port
        self._clock = clock
        self._contact = contact
        self._revoker = revoker
        self._token_source = token_source
        self._on_confirmed = on_confirmed
        self._on_refuted = on_refuted
        self._pending_by_life: dict[tuple[str, int], _PendingLife] = {}

    def verify(
        self, identity: WorkerIdentity, known: WorkerIdentity | None
    ) -> None:
        """Ask the worker, unless it is being asked about this life.

        ``known`` is the life that the agent follows. A later one of the same
        name must refuse at once what was ordered before.
        """
        pending = self._pending_by_life.get(identity.life)
        if pending is not None:
            if identity.sequence > pending.identity.sequence:
                pending.identity = identity
            return
        if len(self._pending_by_life) >= MAX_PENDING_LIVES:
            _log.warning(
                'too many announced lives to verify; ignoring one',
                worker=identity.worker,
                born_ms=identity.born_ms,
            )
            return
        pending = _PendingLife(identity)
        if known is not None and known.worker == identity.worker:
            pending.is_named_like_known = True
            if identity.born_ms > known.born_ms:
                self._contact.expect(identity.born_ms)
        self._pending_by_life[identity.life] = pending
        self._ask(pending)

    def forget_all(self) -> None:
        """Forget all announced lives; answers under way are ignored."""
        self._pending_by_life.clear()

    def _ask(self, pending: _PendingLife) -> None:
        if not self._is_pending(pending):
            return
        pending.attempts += 1
        hold = HoldRequest(
            fence=self._contact.token.value,
            acknowledged=0,
            lease_until_ms=0,
            wait_ms=0,
        )
        # An id that cannot be sent must not stay pending for ever.
        answered = maybeDeferred(self._port.hold, pending.identity, hold)
        answered.addCallbacks(
            self._handle_listing,
            self._handle_failure,
            (pending,),
            {},
            (pending,),
        )
        answered.addErrback(_log_error)

    def _tell_leader(
        self, pending: _PendingLife, error: OrderRefusedError
    ) -> Deferred[None]:
        """Tell the leader that the worker is up; ask for a token if needed.

        As long as its life is unknown, the leader must not take it for silent:
        it may carry out late orders.
        """
        is_outdated = error.reason == REASON_FENCE
        request = TokenRequest(
            worker=pending.identity.worker,
            needs_token=is_outdated and not pending.is_token_granted,
            refuses_holds=True,
        )
        answer = self._token_source.send(request)
        return answer.addCallback(self._handle_answer, pending, request)

    def _handle_answer(
        self, answer: TokenAnswer, pending: _PendingLife, request: TokenRequest
    ) -> None:
        if not self._is_pending(pending):
            return
        if not request.needs_token or answer is TokenAnswer.unavailable:
            self._retry(pending, 'the worker refuses holds')
        elif answer is TokenAnswer.granted:
            pending.is_token_granted = True
            self._ask(pending)
        else:
            # A leader of an earlier version tells the token of a life that is
            # reported, and no other.
            self._confirm(pending)

    def _is_pending(self, pending: _PendingLife) -> bool:
        life = pending.identity.life
        return self._pending_by_life.get(life) is pending

    def _handle_listing(
        self, listing: RunListing, pending: _PendingLife
    ) -> None:
        if not self._is_pending(pending):
            return
        if listing.born_ms == pending.identity.born_ms:
            self._confirm(pending)
        else:
            self._refute(pending, f'the worker was born at {listing.born_ms}')

    def _handle_failure(
        self, failure: Failure, pending: _PendingLife
    ) -> Deferred[None] | None:
        if not self._is_pending(pending):
            return None
        error: Any = failure.value
        if isinstance(error, OtherIncarnationError):
            self._refute(pending, str(error))
        elif self._is_up_unknown(error, pending):
            return self._tell_leader(pending, error)
        else:
            self._retry(pending, repr(error))
            if isinstance(error, OrderRefusedError):
                self._revoke_open_orders(pending)
        return None

    def _is_up_unknown(self, error: Exception, pending: _PendingLife) -> bool:
        """Return whether a worker is up that has had orders of any process.

        Any life of the name refuses a hold so. If the agent follows one, the
        leader hears of it by reports.
        """
        if pending.is_named_like_known:
            return False
        return isinstance(error, OrderRefusedError) and (
            error.reason == REASON_FENCE or self._contact.token.fence > 0
        )

    def _revoke_open_orders(self, pending: _PendingLife) -> None:
        """Revoke the orders to earlier lives of a name that refuses holds."""
        if pending.is_named_like_known:
            token = self._contact.token.value
            self._revoker.revoke(pending.identity, token)

    def _confirm(self, pending: _PendingLife) -> None:
        self.forget_all()
        self._on_confirmed(pending.identity)

    def _refute(self, pending: _PendingLife, reason: str) -> None:
        self._forget(pending, reason)
        self._token_source.refill(self._contact.token, pending.identity.worker)
        self._on_refuted()

    def _retry(self, pending: _PendingLife, reason: str) -> None:
        if pending.attempts >= MAX_ATTEMPTS:
            self._forget(pending, reason)
            return
        self._clock.callLater(HOLD_RETRY_SECONDS, self._ask, pending)

    def _forget(self, pending: _PendingLife, reason: str) -> None:
        identity = pending.identity
        self._pending_by_life.pop(identity.life)
        _log.event(
            'announcement ignored: the worker does not confirm it',
            worker=identity.worker,
            born_ms=identity.born_ms,
            service=identity.service_name,
            reason=reason,
        )


def _log_error(failure: Failure) -> None:
    _log.warning('verification of a life failed', trace=failure.getTraceback())
