"""Priority of a job among those of other queues, with ageing.

Made for queues of one service that compete for too little capacity: work of a
more urgent queue is started first. A late job becomes as urgent as any as it
waits, so that late ones of an urgent queue do not keep it back for ever; jobs
that can still be in time go before all late ones.
"""

from wasabiturn.batch.state.jobs import Job

MOST_URGENT = 0


def effective_priority(job: Job, wall_ms: int) -> int:
    """Return the priority of a job at ``wall_ms``, 0 for the most urgent.

    It is that of its queue, raised by one level for each time that the job has
    waited for as long as its objective allows.
    """
    priority = job.accepted.terms.priority
    if priority <= MOST_URGENT or job.objective_ms <= 0:
        return MOST_URGENT
    waited_ms = max(wall_ms - job.due_ms(), 0)
    levels = int(waited_ms / job.objective_ms)
    return max(priority - levels, MOST_URGENT)
