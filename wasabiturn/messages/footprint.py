"""How much room stored jobs take, in memory and in a snapshot.

The amounts are estimates from above. They follow from what a job declares, and
never from what its tasks do. Only a leader decides by them.
"""

import sys
from typing import final

import attrs

from wasabiturn.messages.batch import AcceptJob, JobDeclaration, Step

# Objects of one copy of the state, without texts.
_JOB_BYTES = 1500
_STEP_BYTES = 400
# A step of one occurrence.
_PART_BYTES = 500
# With the names that it gets once it has been started.
_TASK_BYTES = 800
# An element of a list, and the number that it refers to.
_NUMBER_BYTES = 40
# Records of a snapshot, without texts.
_STORED_JOB_BYTES = 200
_STORED_STEP_BYTES = 128
_STORED_TASK_BYTES = 256
_STORED_NUMBER_BYTES = 4


@final
@attrs.frozen
class Footprint:
    """Bytes of one copy of some jobs in memory, and of their snapshot."""

    memory_bytes: int = 0
    stored_bytes: int = 0

    def __add__(self, other: 'Footprint') -> 'Footprint':
        """Return the room of both."""
        return Footprint(
            self.memory_bytes + other.memory_bytes,
            self.stored_bytes + other.stored_bytes,
        )

    def __sub__(self, other: 'Footprint') -> 'Footprint':
        """Return the room without that of ``other``."""
        return Footprint(
            self.memory_bytes - other.memory_bytes,
            self.stored_bytes - other.stored_bytes,
        )

    def fits(self, room: 'Footprint') -> bool:
        """Return whether it is no larger than ``room``."""
        return (
            self.memory_bytes <= room.memory_bytes
            and self.stored_bytes <= room.stored_bytes
        )


NO_FOOTPRINT = Footprint()
# Of an ended job, only the state is kept.
ENDED_JOB = Footprint(_JOB_BYTES, _STORED_JOB_BYTES)


@final
@attrs.define
class Usage:
    """Room of all stored jobs, and of those of each queue."""

    total: Footprint = NO_FOOTPRINT
    by_queue: dict[str, Footprint] = attrs.field(factory=dict)

    def of_queue(self, queue: str) -> Footprint:
        """Return the room of the jobs in one queue."""
        return self.by_queue.get(queue, NO_FOOTPRINT)

    def add(self, queue: str, footprint: Footprint) -> None:
        """Count the room of a job."""
        self.total += footprint
        self.by_queue[queue] = self.of_queue(queue) + footprint

    def remove(self, queue: str, footprint: Footprint) -> None:
        """Stop counting the room of a job."""
        self.total -= footprint
        left = self.of_queue(queue) - footprint
        self.by_queue[queue] = left
        if left == NO_FOOTPRINT:
            self.by_queue.pop(queue)


def measure_job(accepted: AcceptJob, tasks: int) -> Footprint:
    """Return the room of a job with this number of tasks in all."""
    declaration = accepted.declaration
    parts = max(declaration.occurrences, 1) * len(declaration.steps)
    of_tasks = Footprint(
        tasks * _TASK_BYTES + parts * _PART_BYTES, tasks * _STORED_TASK_BYTES
    )
    of_terms = _measure_texts(accepted.terms.service_name)
    return measure_declaration(declaration) + of_terms + of_tasks


def measure_declaration(declaration: JobDeclaration) -> Footprint:
    """Return the room of what a caller declares, without the tasks."""
    own = Footprint(_JOB_BYTES, _STORED_JOB_BYTES)
    texts = _measure_texts(declaration.payload, declaration.queue)
    return sum(map(_measure_step, declaration.steps), own + texts)


def _measure_step(step: Step) -> Footprint:
    numbers = len(step.after)
    own = Footprint(
        _STEP_BYTES + numbers * _NUMBER_BYTES,
        _STORED_STEP_BYTES + numbers * _STORED_NUMBER_BYTES,
    )
    return own + _measure_texts(
        step.required_label, step.preferred_rack, step.image
    )


def _measure_texts(*texts: str) -> Footprint:
    return Footprint(
        sum(map(sys.getsizeof, texts)),
        sum(len(text.encode()) for text in texts),
    )
