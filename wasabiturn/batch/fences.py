"""Fencing tokens of the leader's orders to one worker.

A worker carries out no order with a lower token than it has seen. A token is
the term of the leader and, below it, a count for one worker. The leader raises
the count whenever an order may be out that it no longer knows of. Once the
worker has listed its runs under the raised token, every older order is void,
and what is missing from that list has neither started nor ever will.
"""

from wasabiturn.batch.fleet import Worker

# Leaves 23 bits for terms below 2**53, up to which every reader of JSON
# represents integers exactly.
COUNT_BITS = 30


def first_fence(term: int) -> int:
    """Return the lowest token of a term."""
    return term << COUNT_BITS


def succeed_worker(worker: Worker, predecessor: Worker) -> None:
    """Give the successor of an incarnation a higher token.

    Their agent ignores lower tokens than it has seen. If both have the same
    name, orders to the predecessor may still reach the worker, so its list
    decides about the predecessor's runs as well.
    """
    worker.fence = max(worker.fence, predecessor.fence + 1)
    if worker.name == predecessor.name:
        worker.predecessors.extend((*predecessor.predecessors, predecessor))
        predecessor.predecessors = []


def raise_fence(worker: Worker) -> None:
    """Make all orders to ``worker`` void that are out.

    The worker gets no new orders until it has listed its runs again.
    """
    worker.fence += 1
    worker.is_reconciled = False
