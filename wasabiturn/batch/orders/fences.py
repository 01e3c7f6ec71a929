"""Fencing tokens of the leader's orders to each worker.

A worker carries out no order with a lower token than it has seen. A token is
the term of the leader and, below it, a count. The leader gives a worker the
next token whenever an order may be out that it no longer knows of. Once the
worker has listed its runs under that token, each older order is void for this
incarnation, and what the list lacks has neither started nor ever will.

The tokens between two of the leader are those of the worker's agent; see
``wasabiturn/process/agent/runs/fencing_token.py``.
"""

from wasabiturn.batch.fleet import Fleet, Worker
from wasabiturn.messages.limits import FENCE_STEP

# Leaves 23 bits for terms below 2**53, up to which every reader of JSON
# represents integers exactly.
COUNT_BITS = 30


def first_fence(term: int) -> int:
    """Return the lowest token of a term."""
    return term << COUNT_BITS


def next_fence(term: int, newest_fence: int) -> int:
    """Return the lowest token with which an instance begins to lead.

    ``newest_fence`` is the highest one that it gave before, 0 if none. It may
    lead the same term more than once.
    """
    return max(first_fence(term), newest_fence + FENCE_STEP)


def raise_fence(fleet: Fleet, worker: Worker) -> None:
    """Make all orders to ``worker`` void that are out.

    The worker gets no new orders until it has listed its runs again.
    """
    fleet.newest_fence += FENCE_STEP
    worker.fence = fleet.newest_fence
    worker.is_reconciled = False


def succeed_worker(fleet: Fleet, worker: Worker, predecessor: Worker) -> None:
    """Give the successor of an incarnation a higher token.

    Their agent ignores lower tokens than it has seen. If both have the same
    name, orders to the predecessor may still reach the worker, so its list
    decides about the predecessor's runs as well.
    """
    raise_fence(fleet, worker)
    if worker.name == predecessor.name:
        worker.predecessors.extend((*predecessor.predecessors, predecessor))
        predecessor.predecessors = []
