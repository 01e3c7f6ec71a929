"""One step of planning: the transitions to propose at this moment.

Capacity that a transition frees is used only once it is committed; capacity
that a planned start takes is charged at once.
"""

from typing import final

import attrs

from wasabiturn.messages.state import TaskSpec, TaskTransition
from wasabiturn.version.placement.choice import assign, choose_worker
from wasabiturn.version.placement.losses import find_lost
from wasabiturn.version.placement.table import PlacementTable

MAX_TRANSITIONS = 256


@final
@attrs.define
class Plan:
    """Transitions by task, in the order in which they were decided."""

    transitions_by_task: dict[str, TaskTransition] = attrs.field(factory=dict)

    def is_full(self) -> bool:
        """Tell whether no more transitions fit into one command."""
        return len(self.transitions_by_task) >= MAX_TRANSITIONS

    def add(self, task: str, spec: TaskSpec, following: TaskSpec) -> None:
        """Plan the change of ``task`` from ``spec`` to ``following``."""
        self.transitions_by_task.setdefault(
            task,
            TaskTransition(
                task=task,
                expected_attempt=spec.attempt,
                expected_state=spec.state,
                task_spec=following,
            ),
        )


def plan(
    table: PlacementTable,
    reported_by_task: dict[str, TaskSpec],
    now: float,
) -> Plan:
    """Decide on reports, losses and starts."""
    planned = Plan()
    _add_all(table, planned, reported_by_task)
    _add_all(table, planned, find_lost(table, now))
    for task, spec in list(table.waiting_tasks.items()):
        if planned.is_full():
            break
        if task in planned.transitions_by_task:
            continue
        worker = choose_worker(table, spec, now)
        if worker is not None:
            following = assign(spec, worker)
            planned.add(task, spec, following)
            table.put_task(task, following)
    return planned


def _add_all(
    table: PlacementTable,
    planned: Plan,
    next_by_task: dict[str, TaskSpec],
) -> None:
    for task, following in next_by_task.items():
        spec = table.specs_by_task.get(task)
        if spec is not None and not planned.is_full():
            planned.add(task, spec, following)
