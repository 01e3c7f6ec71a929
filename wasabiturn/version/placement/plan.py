"""Result of one planning step."""

from typing import Any, final

import attrs

from wasabiturn.messages.state import TaskSpec, TaskTransition

MAX_TRANSITIONS = 256
# Reports, lost attempts and impossible tasks fill at most this many
# transitions of a command, so that room is left for starts.
MAX_REPORT_TRANSITIONS = 192


@final
@attrs.frozen
class Decision:
    """One decision with its inputs, to be logged."""

    sentence: str
    chosen: str
    inputs: dict[str, Any]


@final
@attrs.define
class Plan:
    """Transitions by task, in the order in which they were decided."""

    transitions_by_task: dict[str, TaskTransition] = attrs.field(factory=dict)
    surplus_services: list[str] = attrs.field(factory=list)
    decisions: list[Decision] = attrs.field(factory=list)
    evictions: int = 0

    def is_empty(self) -> bool:
        """Return whether there is nothing to commit."""
        return not self.transitions_by_task and not self.surplus_services

    def is_full(self, limit: int = MAX_TRANSITIONS) -> bool:
        """Return whether the plan has ``limit`` transitions or more."""
        return len(self.transitions_by_task) >= limit

    def add(self, task: str, spec: TaskSpec, next_spec: TaskSpec) -> bool:
        """Plan a change of ``task``, unless one is already planned.

        Return whether the change was added.
        """
        if task in self.transitions_by_task:
            return False
        self.transitions_by_task[task] = TaskTransition(
            task=task,
            expected_attempt=spec.attempt,
            expected_state=spec.state,
            task_spec=next_spec,
        )
        return True

    def record(self, sentence: str, chosen: str, **inputs: Any) -> None:
        """Record a decision to be logged."""
        decision = Decision(sentence=sentence, chosen=chosen, inputs=inputs)
        self.decisions.append(decision)
