"""Application of task transitions proposed by the scheduler."""

import attrs

from wasabiturn.messages.kinds import Kind, OutcomeCode
from wasabiturn.messages.state import (
    Change,
    Outcome,
    TaskTransition,
    UpdateTasks,
)
from wasabiturn.version.state import Effect, State, store_resource
from wasabiturn.version.tasks import add_surplus_replica, handle_terminal_task


def update_tasks(body: UpdateTasks, state: State) -> Effect:
    """Apply the transitions whose expected attempt and state match.

    ``Outcome.codes`` has one code for each transition: ``ok``, ``not_found``,
    or ``conflict`` if the task has another attempt or state. Each service in
    ``surplus_services`` gets one replica more than it declares.
    """
    codes: list[int] = []
    changes: list[Change] = []
    for transition in body.transitions:
        code = _check_transition(state, transition)
        codes.append(code)
        if code is OutcomeCode.ok:
            changes.extend(_apply_transition(state, transition))
    for service in body.surplus_services or ():
        changes.extend(add_surplus_replica(state, service))
    outcome = Outcome(revision=state.revision, codes=codes)
    return Effect(outcome=outcome, changes=tuple(changes))


def _check_transition(
    state: State,
    transition: TaskTransition,
) -> OutcomeCode:
    task = state.resources_by_kind[Kind.task].get(transition.task)
    if task is None or task.task_spec is None:
        return OutcomeCode.not_found
    current = task.task_spec
    if current.attempt != transition.expected_attempt:
        return OutcomeCode.conflict
    if current.state != transition.expected_state:
        return OutcomeCode.conflict
    return OutcomeCode.ok


def _apply_transition(
    state: State,
    transition: TaskTransition,
) -> list[Change]:
    task = state.resources_by_kind[Kind.task][transition.task]
    moved = attrs.evolve(task, task_spec=transition.task_spec)
    stored = store_resource(state, moved)
    return [stored, *handle_terminal_task(state, stored.resource)]
