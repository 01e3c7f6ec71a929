"""What the leader remembers of tasks that wait for a rack.

It is not stored: a new leader counts the waits of earlier leaders as used up.
"""

import enum
from collections.abc import Callable, Iterable
from typing import final

import attrs

from wasabiturn.batch.placing.durations import Durations
from wasabiturn.batch.placing.locality.rack_forecast import RackForecast
from wasabiturn.batch.state.jobs import Job, Part
from wasabiturn.messages.kinds import BatchTaskState

# A wait between two plans counts for this long at most; in a longer gap the
# step was not looked at, as no worker had room.
MAX_PLAN_GAP_SECONDS = 0.3


@final
@attrs.frozen
class LocalityTerms:
    """Settings of the waits; a factor of 1 or less switches them off.

    ``slowdown_factor`` is how many times as long a task takes outside its rack.
    """

    slowdown_factor: float = 1.0
    is_enabled: bool = True

    @property
    def is_active(self) -> bool:
        """Return whether steps that name a rack are treated differently."""
        return self.is_enabled and self.slowdown_factor > 1


NO_LOCALITY = LocalityTerms()


@final
class WaitOutcome(enum.Enum):
    """Why a wait for a rack ended."""

    near = 'near'
    limit = 'limit'
    not_worth = 'not worth'
    idle = 'idle'
    rack_lost = 'rack lost'
    gone = 'gone'


@final
@attrs.frozen
class WaitInputs:
    """What the decision weighs for the waiting tasks of one step.

    ``places_within`` returns how many more of its tasks are expected to find a
    place in the rack within that many seconds.
    """

    tasks: int
    places_within: Callable[[float], int]
    has_rack: bool
    # Time that a near place saves a task.
    saved_seconds: float
    limit_seconds: float
    waited_seconds: float
    # For how long its job may run nothing, UNKNOWN if it does run something.
    idle_left_seconds: float
    # All tasks slow down if one of them starts elsewhere.
    is_whole: bool = False


@final
@attrs.frozen
class WaitDecision:
    """How many tasks wait on, and why the others do not."""

    tasks: int
    reason: WaitOutcome


# Order in which waits are served, lowest first: whether only a near place makes
# the job finish in time (negated), the time that it saves (negated), the age.
Rank = tuple[bool, float, int]
Decide = Callable[[WaitInputs], WaitDecision]


@final
@attrs.define(eq=False)
class Wait:
    """The wait of one step for one rack."""

    part: Part
    rack: str
    waited_seconds: float = 0.0
    # When tasks last declined a place elsewhere; None if there was none.
    declined_at: float | None = None
    expected_seconds: float = 0.0
    saved_seconds: float = 0.0
    rank: Rank = (True, 0.0, 0)
    # Tasks that were not started when the wait began, or started elsewhere.
    tasks: int = 0
    far: int = 0
    # Why tasks do not wait by the last review, and why some started elsewhere.
    reason: WaitOutcome = WaitOutcome.near
    outcome: WaitOutcome = WaitOutcome.near
    # How many tasks wait since the last review, when the next may be, and when
    # a limit of the wait is reached.
    held: int = 0
    review_at: float = 0.0
    due_at: float = 0.0
    # The step does not wait any more.
    is_over: bool = False

    @property
    def millicores(self) -> int:
        """Return the CPU that its tasks wait for."""
        return self.held * self.part.step.millicores

    @property
    def memory_mb(self) -> int:
        """Return the memory that its tasks wait for."""
        return self.held * self.part.step.memory_mb

    def decline(self, now: float) -> float:
        """Record that a place elsewhere is declined; return what is added."""
        added = 0.0
        if self.declined_at is not None:
            added = min(now - self.declined_at, MAX_PLAN_GAP_SECONDS)
        self.declined_at = now
        self.waited_seconds += added
        return added


@final
@attrs.frozen
class EndedWait:
    """A wait that has ended, for the log and the metrics."""

    part: str
    rack: str
    outcome: WaitOutcome
    waited_seconds: float
    expected_seconds: float
    # What near places saved, all tasks together.
    saved_seconds: float
    near: int
    far: int


@final
@attrs.define(eq=False)
class IdleWait:
    """For how long a job has waited for a rack while it ran nothing."""

    job: Job
    seconds: float = 0.0


@final
@attrs.define
class LocalityState:
    """Waits by step, learnt durations, and the ends to be reported."""

    terms: LocalityTerms = attrs.field(factory=LocalityTerms)
    # Replaces the decision in benchmarks.
    decide: Decide | None = None
    durations: Durations = attrs.field(factory=Durations)
    waits_by_part: dict[Part, Wait] = attrs.field(factory=dict)
    # Number of steps that were weighed for the first time.
    seen: int = 0
    idle_by_job: dict[str, IdleWait] = attrs.field(factory=dict)
    forecast_by_rack: dict[str, RackForecast] = attrs.field(factory=dict)
    # Steps whose first review was put off.
    deferred: set[Part] = attrs.field(factory=set)
    _ended: list[EndedWait] = attrs.field(factory=list)

    def use_up(self, jobs: Iterable[Job]) -> None:
        """Count the waits of all steps that may have waited as used up."""
        if not self.terms.is_active:
            return
        for job in jobs:
            for part in job.parts_by_key.values():
                if part.waiting_by_name and part.is_ready():
                    wait = Wait(part, part.step.preferred_rack, is_over=True)
                    self.waits_by_part[part] = wait

    def remove_ended(self) -> None:
        """End the waits of steps without waiting tasks."""
        for part, wait in list(self.waits_by_part.items()):
            if not part.waiting_by_name or part.job.is_final:
                self._end(wait)
                self.waits_by_part.pop(part)
        self.deferred = {each for each in self.deferred if each.waiting_by_name}
        for job_id, idle in list(self.idle_by_job.items()):
            if idle.job.is_final:
                self.idle_by_job.pop(job_id)

    def take_ended(self) -> list[EndedWait]:
        """Return the waits that ended since the last call."""
        self.remove_ended()
        ended = self._ended
        self._ended = []
        return ended

    def _end(self, wait: Wait) -> None:
        if not wait.tasks:
            return
        outcome = wait.outcome
        near = wait.tasks - wait.far
        if wait.part.job.is_final and _is_unfinished(wait.part):
            outcome = WaitOutcome.gone
            near = 0
        self._ended.append(
            EndedWait(
                part=wait.part.name,
                rack=wait.rack,
                outcome=outcome,
                waited_seconds=wait.waited_seconds,
                expected_seconds=wait.expected_seconds,
                saved_seconds=near * wait.saved_seconds,
                near=near,
                far=wait.far,
            )
        )


def _is_unfinished(part: Part) -> bool:
    return part.unfinished_tasks > 0 and not any(
        task.state is BatchTaskState.active for task in part.open_tasks()
    )
