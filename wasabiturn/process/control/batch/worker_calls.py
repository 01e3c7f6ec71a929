"""Handling of the calls by which agents report on their workers."""

from collections.abc import Callable
from typing import final

import attrs

from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.link import Link
from wasabiturn.messages.batch import (
    TokenRequest,
    WorkerOrders,
    WorkerReport,
    WorkerToken,
)
from wasabiturn.messages.kinds import Method
from wasabiturn.process.control.batch.leader_term import LeaderTerm
from wasabiturn.process.control.batch.token_requests import (
    answer_token_request,
)
from wasabiturn.process.control.batch.worker_reports import answer_report


@final
@attrs.frozen
class WorkerCallHandler:
    """Handles agents' calls; ``now`` returns the time of the loop.

    ``require_term`` returns the present term, or raises ``CallError`` on a
    member that does not lead.
    """

    require_term: Callable[[], LeaderTerm]
    has_service: Callable[[str], bool]
    now: Callable[[], float]

    def report(self, link: Link, report: WorkerReport) -> WorkerOrders:
        """Follow the report of a worker; return orders for it."""
        orders = answer_report(self.require_term(), link, report, self.now())
        orders.is_service_unknown = not self.has_service(report.service_name)
        return orders

    def request_token(self, link: Link, request: TokenRequest) -> WorkerToken:
        """Return a token that the worker accepts."""
        fleet = self.require_term().fleet
        return answer_token_request(fleet, request, link.peer.name, self.now())


def register_worker_calls(
    dispatch: Dispatch,
    require_term: Callable[[], LeaderTerm],
    has_service: Callable[[str], bool],
    now: Callable[[], float],
) -> None:
    """Register the handlers of agents' calls."""
    handler = WorkerCallHandler(require_term, has_service, now)
    dispatch.handle(Method.worker_report, WorkerReport, handler.report)
    dispatch.handle(Method.worker_token, TokenRequest, handler.request_token)
