"""What an agent knows of whether its worker answers, and under which token."""

from typing import final

import attrs
from twisted.python.failure import Failure

from wasabiturn.process.agent.runs.fencing_token import FencingToken
from wasabiturn.process.agent.runs.hold_log import HoldLog
from wasabiturn.process.agent.runs.lease import NEVER
from wasabiturn.process.agent.runs.port import WorkerNotListeningError

HOLD_RETRY_SECONDS = 0.2
# The first retry after a hold that failed: a crashed worker's port is closed.
FIRST_HOLD_RETRY_SECONDS = 0.005
# While an order is open that the next life may carry out before its first hold.
OPEN_ORDER_RETRY_SECONDS = 0.02
NO_FENCE = -1


@final
@attrs.define
class WorkerContact:
    """Contact with the worker; the token rises whenever a life has ended.

    ``listing_token`` is that of the newest list of runs.
    """

    token: FencingToken = attrs.field(factory=FencingToken)
    hold_log: HoldLog = attrs.field(factory=HoldLog)
    listing_token: int = NO_FENCE
    # No hold has failed since the newest list.
    is_listing_current: bool = False
    is_connection_refused: bool = False
    failure_reported_at: float = NEVER
    # Start of the newest life that a list or an announcement has shown, and
    # that the agent does not follow; 0 once the present life answers again.
    found_born_ms: int = 0

    @property
    def has_listed(self) -> bool:
        """Return whether there is a list under the present token."""
        return self.listing_token == self.token.value

    def begin_incarnation(self) -> None:
        """Forget the list of the life before, and make its orders void."""
        self.listing_token = NO_FENCE
        self.is_listing_current = False
        self.is_connection_refused = False
        self.found_born_ms = 0
        self.token.raise_own('new incarnation')

    def record_list(self, worker: str, token: int) -> bool:
        """Record that the present life has listed its runs under ``token``.

        The token rises for a life that is found, so a list under the newest one
        refutes it: the present life goes on. Returns whether it did.
        """
        self.hold_log.record_answer(worker)
        self.is_connection_refused = False
        self.is_listing_current = True
        if not self.found_born_ms or token != self.token.value:
            return False
        self.found_born_ms = 0
        return True

    def record_failure(self, worker: str, failure: Failure) -> float:
        """Record a hold that failed; return the seconds until the next."""
        self.hold_log.record_failure(worker, str(failure.value))
        is_first = self.is_listing_current
        was_refused = self.is_connection_refused
        self.is_listing_current = False
        if failure.check(WorkerNotListeningError):
            self.record_closed_port()
        else:
            self.is_connection_refused = False
        if is_first or was_refused != self.is_connection_refused:
            self.failure_reported_at = NEVER
        return FIRST_HOLD_RETRY_SECONDS if is_first else HOLD_RETRY_SECONDS

    def is_report_due(self, now: float) -> bool:
        """Return whether to report a failure: it is news, or some time ago."""
        if now < self.failure_reported_at + HOLD_RETRY_SECONDS:
            return False
        self.failure_reported_at = now
        return True

    def record_closed_port(self) -> None:
        """Record that nothing listens, so that the life has ended."""
        self.is_listing_current = False
        if not self.is_connection_refused:
            self.token.raise_own('nothing listens at the worker')
        self.is_connection_refused = True

    def take_over(self, born_ms: int) -> bool:
        """Raise the token for a life that has not announced itself.

        Returns whether it is new, so that it is to be told.
        """
        self.is_listing_current = False
        if born_ms == self.found_born_ms:
            return False
        self.found_born_ms = born_ms
        self.token.raise_own('incarnation without an announcement')
        return True

    def expect(self, born_ms: int) -> None:
        """Raise the token for a life that is announced, and may be there.

        It is raised already if it was for another life that is not refuted yet,
        and no start was sent since.
        """
        is_raised = self.found_born_ms and not self.token.is_used
        self.is_listing_current = False
        self.found_born_ms = born_ms
        if not is_raised:
            self.token.raise_own('announced incarnation')

    def has_found_other_life(self, born_ms: int) -> bool:
        """Return whether another life than the one born then may be there.

        A list or an announcement has shown it, and it is not refuted.
        """
        return self.found_born_ms not in {0, born_ms}

    def listing_fence(self) -> int:
        """Return the leader's token of the newest list, if that is newest."""
        fence = self.token.fence_of(self.listing_token)
        return NO_FENCE if fence is None else fence
