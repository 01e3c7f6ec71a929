"""Fencing tokens for agents without one that their worker accepts.

An agent that has just started has to ask its worker which life it is, and the
worker refuses holds with a lower token than it has seen. The agent cannot
report a life to learn the token: it does not know yet which one the worker is.
"""

import attrs

from wasabiturn.batch.fleet import Fleet, Worker
from wasabiturn.batch.orders.fences import raise_fence
from wasabiturn.messages.batch import TokenRequest, WorkerReport, WorkerToken
from wasabiturn.messages.limits import FENCE_STEP
from wasabiturn.utils.logs import create_component_log

_log = create_component_log('workers')


def answer_token_request(
    fleet: Fleet, request: TokenRequest, agent: str, now: float
) -> WorkerToken:
    """Return a token above all others of this leader, if one is needed.

    The worker's own report raises its fence above the granted one.
    """
    if request.refuses_holds:
        for worker in fleet.workers_by_incarnation.values():
            if (worker.name, worker.agent) == (request.worker, agent):
                _record_unlisted(fleet, worker, now)
    if not request.needs_token:
        return WorkerToken()
    fleet.newest_fence += FENCE_STEP
    _log.event(
        'token granted',
        worker=request.worker,
        agent=agent,
        fence=fleet.newest_fence,
    )
    return WorkerToken(fence=fleet.newest_fence)


def follow_granted_token(
    fleet: Fleet, worker: Worker, report: WorkerReport
) -> None:
    """Raise the fence of a worker whose agent was granted a higher one.

    The agent ignores orders with a lower one. A token above all of this leader
    is from a newer leader.
    """
    if worker.fence < report.followed_fence <= fleet.newest_fence:
        raise_fence(fleet, worker)


def _record_unlisted(fleet: Fleet, worker: Worker, now: float) -> None:
    """Record that this life or another of its name is up, and lists no runs.

    It may carry out late orders. So it is neither silent nor closed, and no
    list is current.
    """
    worker.heard_at = now
    worker.refuses_since = None
    worker.report = attrs.evolve(worker.report, listed=False, refuses=False)
    if worker.is_reconciled:
        raise_fence(fleet, worker)
