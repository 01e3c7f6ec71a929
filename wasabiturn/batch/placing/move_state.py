"""What the leader remembers of runs that move."""

from typing import final

import attrs

from wasabiturn.batch.state.jobs import Task


@final
@attrs.define
class Move:
    """A run that is stopped so that its task goes on at another worker.

    The place is a worker, given by name and time of birth, that is reserved
    for the task until ``until``; None once it was released.
    """

    task: Task
    run: int
    place: tuple[str, int] | None
    until: float
