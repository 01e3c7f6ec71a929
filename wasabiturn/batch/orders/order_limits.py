"""Limits of the time in which orders to start a run leave its agent.

Each start is committed with a limit on the clock of the state. An agent sends
no order for it after that time, so that any later leader knows until when an
order may be carried out, whatever the leaders before it had done. While the
agent reports and the start has no answer, the limit is moved by further
commits, before the orders with the later one.

An agent reads a limit on its own clock. The leader counts from the newest
report, which was sent before it came, so an agent that stood still meanwhile
sends nothing too late. Agents of earlier versions keep no limits; what they
were ordered is taken to be out until the leader knows better.
"""

from collections.abc import Iterable, Iterator

from wasabiturn.batch.fleet import UNKNOWN, Allocation, Worker
from wasabiturn.messages.batch import MoveLimit

# Several round trips, and the first repetitions.
SEND_MS = 2000
# A limit is moved when less is left; reports come each second.
MIN_LEFT_MS = 1200
# Commits that take longer than this hold up starts.
MAX_SEND_MS = 10_000
# The clock of an agent may run 3 % slow.
DRIFT_FACTOR = 0.97
_MS = 1000


def keeps_limits(worker: Worker) -> bool:
    """Return whether the agent sends no order after its limit."""
    return worker.report.agent_clock_ms > 0


def first_limit(clock_ms: int) -> int:
    """Return the limit of a start that is committed at ``clock_ms``."""
    return clock_ms + SEND_MS


def may_be_ordered(worker: Worker, allocation: Allocation) -> bool:
    """Return whether orders for a run may be sent to its agent."""
    return keeps_limits(worker) or allocation.order_limit_at == UNKNOWN


def read_agent_limit(worker: Worker, allocation: Allocation) -> int:
    """Return the limit on the clock of the agent; 0 for none."""
    if allocation.order_limit_at == UNKNOWN:
        return 0
    seconds = (allocation.order_limit_at - worker.heard_at) * DRIFT_FACTOR
    return max(worker.report.agent_clock_ms + int(seconds * _MS), 1)


def find_due_limits(
    worker: Worker,
    allocations: Iterable[Allocation],
    clock_ms: int,
    now: float,
) -> Iterator[MoveLimit]:
    """Yield new limits of the starts for which orders are to be sent on.

    The agent of ``worker`` has just reported.
    """
    for allocation in allocations:
        limit_ms = allocation.task.order_limit_ms
        if not limit_ms or allocation.orders_end_at != UNKNOWN:
            continue
        if not keeps_limits(worker):
            yield _move_limit(allocation, 0)
        elif clock_ms > limit_ms - MIN_LEFT_MS:
            next_ms = clock_ms + _choose_send_ms(allocation, now)
            yield _move_limit(allocation, next_ms)


def _choose_send_ms(allocation: Allocation, now: float) -> int:
    """Return a time that leaves some of it after a commit that takes long."""
    late_seconds = max(now - allocation.order_limit_at, 0)
    return min(SEND_MS + int(2 * late_seconds * _MS), MAX_SEND_MS)


def _move_limit(allocation: Allocation, limit_ms: int) -> MoveLimit:
    return MoveLimit(
        task=allocation.task.name,
        run=allocation.run,
        order_limit_ms=limit_ms,
    )
