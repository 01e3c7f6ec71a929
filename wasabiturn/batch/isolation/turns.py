"""When suspects whose turn takes too long start together.

Made for bursts of crashes that leave dozens of suspects, of which each would
otherwise keep a worker to itself for up to 3 s, one after the other. Then most
of them are sound, and the callers of all of them wait.

Suspects have their turns by age. A lasting one with few crashes has a limited
wait at any time. Any other one starts together with others only in calm: beside
further crashes the sharing would cost sound tasks the crashes that are left to
them. Suspects whose shared worker has crashed are tried alone, as one of them
is probably the cause.
"""

from wasabiturn.batch.crashes.suspicions import REPEATED_CRASHES
from wasabiturn.batch.crashes.verdicts import MAX_CRASHES
from wasabiturn.batch.isolation.state import MAX_TURN_SECONDS, IsolationState
from wasabiturn.batch.state.jobs import Task

# A service is calm if at most this share of its workers crashed lately. Workers
# that crash again and again need about 1.5 s to return and to crash anew, and
# jobs are to run within 3 s of the calm.
MAX_CRASHING_SHARE = 0.05
CALM_SECONDS = 1.6


def may_share(task: Task) -> bool:
    """Return whether the wait of a suspect for its turn is limited.

    A gang has a limit of its own; see ``gangs.py``.
    """
    return not task.step.gang


def turn_key(task: Task, isolation: IsolationState) -> tuple[float, int]:
    """Return the sort key of a waiting suspect; the lowest starts first.

    Those of the oldest crash come first, and of one crash the newest start.
    """
    crashed_at, position = isolation.rank_by_task.get(task.name, (0, 0))
    return crashed_at, -position


def is_overdue(
    task: Task, isolation: IsolationState, workers: int, now: float
) -> bool:
    """Return whether a suspect has waited for too long to be tried alone.

    Its service has so many workers.
    """
    if isolation.waited_seconds(task.name, now) < MAX_TURN_SECONDS:
        return False
    if task.step.lasting and task.crashes <= REPEATED_CRASHES:
        return True
    if _must_be_alone(task, isolation):
        return False
    service_name = task.job.accepted.terms.service_name
    crashes = isolation.count_crashes(service_name, now - CALM_SECONDS)
    return crashes <= workers * MAX_CRASHING_SHARE


def _must_be_alone(task: Task, isolation: IsolationState) -> bool:
    """Return whether a suspect is tried alone, however long it waits.

    So is one that a further crash ends without more proof. A crash beside
    others proves nothing, so it would be started once more than callers expect.
    """
    return task.name in isolation.alone_tasks or task.crashes == MAX_CRASHES - 1
