"""Planning step, which decides on the transitions to propose.

Capacity freed by a transition is reused only after the transition has been
committed; capacity taken by a planned start is charged at once.
"""

from wasabiturn.version.placement.choice import create_worker_pool
from wasabiturn.version.placement.heartbeats import ReportedChange
from wasabiturn.version.placement.learning import learn_from_outcome
from wasabiturn.version.placement.losses import find_lost_attempts
from wasabiturn.version.placement.moves import plan_moves
from wasabiturn.version.placement.overloads import plan_overloads
from wasabiturn.version.placement.plan import MAX_REPORT_TRANSITIONS, Plan
from wasabiturn.version.placement.relief import plan_relief
from wasabiturn.version.placement.reservations import expire_reservations
from wasabiturn.version.placement.starts import start_waiting_tasks
from wasabiturn.version.placement.table import PlacementTable
from wasabiturn.version.placement.waiting import mark_impossible


def plan(
    table: PlacementTable,
    reported_by_task: dict[str, ReportedChange],
    now: float,
) -> Plan:
    """Plan transitions for reports, lost attempts, moves and starts.

    Handled reports are removed from ``reported_by_task``; those that did not
    fit into the plan remain for the next one.
    """
    planned = Plan()
    _add_reported_changes(table, planned, reported_by_task, now)
    _add_lost_attempts(table, planned, now)
    plan_moves(table, planned)
    plan_relief(table, planned, now)
    plan_overloads(table, planned)
    if len(table.queue) or table.impossible_tasks:
        mark_impossible(table, planned, now)
        expire_reservations(table, now)
        start_waiting_tasks(table, planned, create_worker_pool(table, now), now)
    return planned


def _add_reported_changes(
    table: PlacementTable,
    planned: Plan,
    reported_by_task: dict[str, ReportedChange],
    now: float,
) -> None:
    for task in list(reported_by_task):
        if planned.is_full(MAX_REPORT_TRANSITIONS):
            return
        reported = reported_by_task.pop(task)
        next_spec = reported.next_spec
        spec = table.specs_by_task.get(task)
        if spec is None or spec.attempt != next_spec.attempt:
            continue
        # Another write changed the task meanwhile; the agent reports again.
        if spec.state is not reported.from_state:
            continue
        learn_from_outcome(table, planned, task, next_spec, now)
        planned.add(task, spec, next_spec)


def _add_lost_attempts(
    table: PlacementTable,
    planned: Plan,
    now: float,
) -> None:
    for task, next_spec in find_lost_attempts(table, now).items():
        if planned.is_full(MAX_REPORT_TRANSITIONS):
            return
        if planned.add(task, table.specs_by_task[task], next_spec):
            planned.record('attempt lost', chosen=task, reason=next_spec.reason)
