"""Pace of filling tasks beside lasting ones with a goal for their tails.

Answers loads that change within seconds: filling work is slowed as soon as a
tail nears its goal, and gets its speed back in small steps once all tails on
the worker are quiet.
"""

from wasabiturn.batch.fleet import Charge, Worker

HIGH_SHARE = 0.85
QUIET_SHARE = 0.65
SLOWER_FACTOR = 0.5
MIN_PERCENT = 10
FASTER_PERCENT = 10
FULL_PERCENT = 100


def adjust_pace(worker: Worker) -> None:
    """Set the pace of the worker's filling tasks by its newest tails."""
    worst = max(
        (_share_of_goal(each) for each in worker.charges_by_task.values()),
        default=0.0,
    )
    if worst > HIGH_SHARE:
        slower = int(worker.fill_percent * SLOWER_FACTOR)
        worker.fill_percent = slower if slower >= MIN_PERCENT else 0
    elif worst < QUIET_SHARE:
        faster = worker.fill_percent + FASTER_PERCENT
        worker.fill_percent = min(faster, FULL_PERCENT)


def list_paces(worker: Worker) -> list[Charge]:
    """Return the filling runs whose pace differs from the worker's."""
    return [
        charge
        for charge in worker.charges_by_task.values()
        if charge.task.step.fills
        and charge.row is not None
        and charge.paced_percent != worker.fill_percent
    ]


def _share_of_goal(charge: Charge) -> float:
    goal_ms = charge.task.step.tail_goal_ms
    if not goal_ms or charge.row is None:
        return 0.0
    return charge.row.figure / goal_ms
