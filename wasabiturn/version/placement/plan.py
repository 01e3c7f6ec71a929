"""What one step of planning decided."""

from typing import Any, final

import attrs

from wasabiturn.messages.state import TaskSpec, TaskTransition

MAX_TRANSITIONS = 256
# Reports may not take all of a command: starts keep their part of it.
MAX_REPORTED = 192


@final
@attrs.frozen
class Decision:
    """One decision with its inputs, for the log."""

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
        """Tell whether there is nothing to commit."""
        return not self.transitions_by_task and not self.surplus_services

    def is_full(self, limit: int = MAX_TRANSITIONS) -> bool:
        """Tell whether no more transitions are to be added."""
        return len(self.transitions_by_task) >= limit

    def add(self, task: str, spec: TaskSpec, following: TaskSpec) -> bool:
        """Plan a change of ``task``; tells whether it had none before."""
        if task in self.transitions_by_task:
            return False
        self.transitions_by_task[task] = TaskTransition(
            task=task,
            expected_attempt=spec.attempt,
            expected_state=spec.state,
            task_spec=following,
        )
        return True

    def record(self, sentence: str, chosen: str, **inputs: Any) -> None:
        """Keep a decision for the log."""
        decision = Decision(sentence=sentence, chosen=chosen, inputs=inputs)
        self.decisions.append(decision)
