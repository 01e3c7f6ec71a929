"""Cost of placing a task that is suspected of crashing its workers."""

from wasabiturn.messages.state import TaskSpec
from wasabiturn.version.placement.workers import Worker

# Cost of each other suspect on a worker and of each crash there. Far above the
# other parts of the cost.
SUSPICION_COST = 1000.0


def suspicion_cost(spec: TaskSpec, worker: Worker) -> float:
    """Return the cost of a suspect beside others, or where it ran before.

    Apart from other suspects, the next crash tells which one is the cause; at
    another worker, that it is not the worker.
    """
    earlier_crashes = spec.crashed_workers.count(worker.name)
    return SUSPICION_COST * (worker.suspects + earlier_crashes)
