"""One step of planning: the transitions to propose at this moment.

Capacity that a transition frees is used only once it is committed; capacity
that a planned start takes is charged at once.
"""

from wasabiturn.version.placement.choice import create_places
from wasabiturn.version.placement.heartbeats import ReportedChange
from wasabiturn.version.placement.learning import learn_from_outcome
from wasabiturn.version.placement.losses import find_lost
from wasabiturn.version.placement.moves import plan_moves
from wasabiturn.version.placement.overloads import plan_overloads
from wasabiturn.version.placement.plan import MAX_REPORTED, Plan
from wasabiturn.version.placement.relief import plan_relief
from wasabiturn.version.placement.reservations import expire_reservations
from wasabiturn.version.placement.starts import start_waiting
from wasabiturn.version.placement.table import PlacementTable
from wasabiturn.version.placement.waiting import settle_impossible


def plan(
    table: PlacementTable,
    reported_by_task: dict[str, ReportedChange],
    now: float,
) -> Plan:
    """Decide on reports, losses, moves and starts.

    Reports that are taken in leave ``reported_by_task``; those that did not
    fit into the plan stay for the next one.
    """
    planned = Plan()
    _take_reports(table, planned, reported_by_task, now)
    _take_losses(table, planned, now)
    plan_moves(table, planned)
    plan_relief(table, planned, now)
    plan_overloads(table, planned)
    if len(table.queue) or table.impossible_tasks:
        settle_impossible(table, planned, now)
        expire_reservations(table, now)
        start_waiting(table, planned, create_places(table, now), now)
    return planned


def _take_reports(
    table: PlacementTable,
    planned: Plan,
    reported_by_task: dict[str, ReportedChange],
    now: float,
) -> None:
    for task in list(reported_by_task):
        if planned.is_full(MAX_REPORTED):
            return
        judged = reported_by_task.pop(task)
        following = judged.following
        spec = table.specs_by_task.get(task)
        if spec is None or spec.attempt != following.attempt:
            continue
        # A write may have come between; the agent reports again.
        if spec.state is not judged.judged_state:
            continue
        learn_from_outcome(table, planned, task, following, now)
        planned.add(task, spec, following)


def _take_losses(table: PlacementTable, planned: Plan, now: float) -> None:
    for task, following in find_lost(table, now).items():
        if planned.is_full(MAX_REPORTED):
            return
        if planned.add(task, table.specs_by_task[task], following):
            planned.record('lose', chosen=task, reason=following.reason)
