"""Capacity that a worker had, to check what its starts use."""

import attrs

from wasabiturn.messages.batch import Step
from wasabiturn.process.agent.runs.port import WorkerIdentity


@attrs.frozen
class Size:
    """Resources of a worker or of its runs."""

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: 'Size') -> 'Size':
        return Size(
            self.millicores + other.millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def largest(self, other: 'Size') -> 'Size':
        """Return the larger of both amounts of each resource."""
        return Size(
            max(self.millicores, other.millicores),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )


def size_of(step: Step) -> Size:
    """Return what a task counts; a filling one only uses CPU that is left."""
    millicores = 0 if step.fills else step.millicores
    return Size(millicores, step.memory_mb, step.accelerators)


def capacity_of(identity: WorkerIdentity) -> Size:
    return Size(identity.millicores, identity.memory_mb, identity.accelerators)


@attrs.define
class CapacityHistory:
    """Capacities of one worker; one that has shrunk counts ``grace`` later."""

    grace_seconds: float
    current: Size = attrs.field(factory=Size)
    # Former capacities with the time until which each still counts.
    _former: list[tuple[float, Size]] = attrs.field(factory=list)

    def record(self, capacity: Size, now: float) -> None:
        """Record the present capacity."""
        if capacity != self.current:
            self._former.append((now + self.grace_seconds, self.current))
            self.current = capacity
        self._former = [each for each in self._former if each[0] > now]

    def find_exceeded(self, used: Size, started: Size) -> list[str]:
        """Return the resources that a start has brought over the capacity.

        ``used`` contains what is ``started``.
        """
        counted = self.current
        for _, capacity in self._former:
            counted = counted.largest(capacity)
        return [
            f'{name}: {amount} of {getattr(counted, name)}'
            for name, amount in attrs.asdict(used).items()
            if amount > getattr(counted, name) and getattr(started, name)
        ]
