"""Diagnosis of lost connections: has the backend server crashed?"""

from collections.abc import Callable, Mapping
from typing import final

import attrs
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from wasabiturn.connection.backend import (
    BackendConnection,
    BackendPool,
    BackendRefusedError,
)
from wasabiturn.ids import Ticket
from wasabiturn.messages.kinds import CrashSuspicion
from wasabiturn.request.suspects import assess_suspicion


def _ignore_crash(crashes_by_ticket: dict[Ticket, int]) -> None:
    """Do nothing: default of the callback."""


@final
@attrs.define(eq=False)
class CrashDiagnosis:
    """Tells a crash of the backend server from the loss of one connection.

    The server has crashed if it refuses a new connection right after one was
    lost. Losses during one attempt to connect belong to the same crash.
    ``on_crash`` gets the earlier crashes under each request in flight.
    """

    pool: BackendPool
    on_crash: Callable[[dict[Ticket, int]], None] = _ignore_crash
    _waiting_by_ticket: dict[Ticket, Deferred[CrashSuspicion]] = attrs.field(
        factory=dict,
    )
    _crashes_by_ticket: dict[Ticket, int] = attrs.field(factory=dict)

    def diagnose(
        self,
        ticket: Ticket,
        in_flight: Mapping[Ticket, int],
    ) -> Deferred[CrashSuspicion]:
        """Return the suspicion of a request whose connection was lost.

        ``in_flight`` has the earlier crashes under each request in flight.
        """
        is_connecting = bool(self._waiting_by_ticket)
        diagnosed: Deferred[CrashSuspicion] = Deferred()
        self._waiting_by_ticket[ticket] = diagnosed
        self._crashes_by_ticket.update(in_flight)
        if not is_connecting:
            connected = self.pool.connect()
            connected.addCallbacks(self._handle_open, self._handle_failure)
        return diagnosed

    def _handle_open(self, connection: BackendConnection) -> None:
        connection.drop()
        self._finish(has_crashed=False)

    def _handle_failure(self, failure: Failure) -> None:
        self._finish(has_crashed=bool(failure.check(BackendRefusedError)))

    def _finish(self, *, has_crashed: bool) -> None:
        waiting_by_ticket = self._waiting_by_ticket
        crashes_by_ticket = self._crashes_by_ticket
        self._waiting_by_ticket = {}
        self._crashes_by_ticket = {}
        if has_crashed:
            self.on_crash(crashes_by_ticket)
        for ticket, diagnosed in waiting_by_ticket.items():
            suspicion = CrashSuspicion.none
            if has_crashed:
                suspicion = assess_suspicion(ticket, crashes_by_ticket)
            diagnosed.callback(suspicion)
