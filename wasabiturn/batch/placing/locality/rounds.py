"""Where the tasks of a step with a rack may start in one plan.

Made for racks that many jobs want at once, beside others with room. Tasks try
their rack first. Of those left, some wait as long as ``wait_decision.py`` finds
that it pays off; the others start anywhere. A task that waits reserves nothing,
and steps that wait for one rack are tried in the order of what they gain there.
"""

from collections.abc import Iterator
from typing import final

from wasabiturn.batch.fleet import Fleet
from wasabiturn.batch.placing.candidates import Candidates
from wasabiturn.batch.placing.locality.claims import Claims
from wasabiturn.batch.placing.locality.rack_choice import (
    RackTerms,
    choose_rack,
    count_free_places,
    find_racks,
)
from wasabiturn.batch.placing.locality.rack_views import RackViews
from wasabiturn.batch.placing.locality.reviews import Reviews
from wasabiturn.batch.placing.locality.state import (
    LocalityState,
    Wait,
    WaitInputs,
    WaitOutcome,
)
from wasabiturn.batch.placing.locality.wait_decision import decide_wait
from wasabiturn.batch.placing.locality.wait_inputs import (
    PlaceWorth,
    find_worth,
    idle_left_seconds,
    limit_seconds,
    record_decline,
)
from wasabiturn.batch.placing.locality.wait_order import order_by_gain
from wasabiturn.batch.queueing.ordering import Moment
from wasabiturn.batch.state.jobs import Part, Task

# After these a step does not wait again.
_LAST_REASONS = frozenset((WaitOutcome.limit, WaitOutcome.rack_lost))


@final
class LocalityRound:
    """The waits for racks in one plan."""

    def __init__(
        self, fleet: Fleet, candidates: Candidates, moment: Moment
    ) -> None:
        """Look at no step yet."""
        self._fleet = fleet
        self._state: LocalityState = fleet.locality
        self._candidates = candidates
        self._moment = moment
        self._views = RackViews(fleet, candidates)
        self._holding: set[Part] = set()
        self._claims = Claims(self._state.waits_by_part.values())
        self._reviews = Reviews(moment.now, len(self._state.waits_by_part))
        self._decide = self._state.decide or decide_wait

    def order(self, parts: list[Part]) -> list[Part]:
        """Return ``parts`` with those waiting for one rack ordered by gain."""
        waits = self._state.waits_by_part
        return order_by_gain(parts, waits) if waits else parts

    def offer(self, part: Part) -> Iterator[Candidates]:
        """Yield the workers where tasks of ``part`` may start, in turn.

        The caller must start what it can on each before it asks for the next.
        """
        wait = self._state.waits_by_part.get(part)
        if wait is not None and self._rests(part, wait):
            self._keep(part, wait)
            return
        rack = self._find_rack(part)
        if not rack:
            yield self._candidates
            return
        if not self._views.is_known_full(part, rack):
            before = len(part.waiting_by_name)
            yield self._views.near(rack)
            if part.step.same_rack and len(part.waiting_by_name) < before:
                # The tasks left may follow those that start now.
                self._state.forecast_by_rack.pop(rack, None)
        tasks = self._list_free(part)
        if tasks:
            self._views.record_full(part, rack)
            yield from self._offer_others(part, rack, tasks)
        elif part.waiting_by_name:
            yield self._candidates

    def holds(self, part: Part) -> bool:
        """Return whether tasks of ``part`` wait though there is room."""
        return part in self._holding

    def _rests(self, part: Part, wait: Wait) -> bool:
        """Return whether all tasks of ``part`` wait on, without a look."""
        if self._candidates.accepts_any_worker or wait.is_over:
            return False
        if wait.held < len(part.waiting_by_name):
            return False
        if not self._views.is_known_full(part, wait.rack):
            return False
        return not self._reviews.is_due(wait, self._views.is_fresh(wait.rack))

    def _find_rack(self, part: Part) -> str:
        """Return the rack that tasks of ``part`` try first, if any."""
        step = part.step
        if not self._state.terms.is_active or step.lasting or step.gang:
            return ''
        if self._candidates.accepts_any_worker:
            return ''
        if step.preferred_rack or not step.same_rack or step.tasks < 2:
            return step.preferred_rack
        wait = self._state.waits_by_part.get(part)
        if wait is not None and not wait.is_over:
            return wait.rack
        racks = find_racks(part, self._fleet)
        if racks:
            return racks.pop() if len(racks) == 1 else ''
        factor = self._state.terms.slowdown_factor
        terms = RackTerms(
            task_seconds=self._state.durations.expect(part),
            # Without a wait, only a rack with places for all is worth it.
            slowdown_factor=factor if wait is None else 0,
        )
        places_by_rack = count_free_places(part, self._candidates.workers)
        return choose_rack(len(part.waiting_by_name), places_by_rack, terms)

    def _list_free(self, part: Part) -> list[Task]:
        """Return the waiting tasks that may start on any worker."""
        bound_tasks = self._candidates.bound_tasks
        return [
            task
            for task in part.waiting_by_name.values()
            if not task.is_suspect and task.name not in bound_tasks
        ]

    def _offer_others(
        self, part: Part, rack: str, tasks: list[Task]
    ) -> Iterator[Candidates]:
        held = self._choose_held(part, rack, tasks)
        if len(held) == len(part.waiting_by_name):
            return
        self._candidates.held_tasks = {task.name for task in held}
        before = len(part.waiting_by_name)
        yield self._candidates
        self._candidates.held_tasks = ()
        wait = self._state.waits_by_part.get(part)
        started = before - len(part.waiting_by_name)
        if wait is not None and started:
            wait.far += started
            wait.outcome = wait.reason

    def _choose_held(
        self, part: Part, rack: str, tasks: list[Task]
    ) -> list[Task]:
        """Return the tasks that do not start elsewhere in this plan."""
        wait = self._state.waits_by_part.get(part)
        if wait is not None and wait.is_over:
            return []
        is_due = self._reviews.is_due(wait, self._views.is_fresh(rack))
        if not is_due and (wait is not None or self._defer(part)):
            return tasks[-self._keep(part, wait) :]
        self._state.deferred.discard(part)
        proposed = wait or self._propose(part, rack, tasks)
        inputs = self._weigh(proposed, tasks)
        decision = self._decide(inputs)
        if not decision.tasks:
            self._release(wait, decision.reason)
            return []
        if not self._views.has_far_place(part, rack):
            self._reviews.disregard(wait)
            return tasks
        proposed.held = decision.tasks
        proposed.reason = decision.reason
        self._reviews.schedule(proposed, inputs)
        if wait is None:
            self._begin(proposed)
        return tasks[-self._keep(part, proposed) :]

    def _defer(self, part: Part) -> bool:
        """Put off the first review of a step, once at most."""
        if part in self._state.deferred:
            return False
        self._state.deferred.add(part)
        return True

    def _begin(self, wait: Wait) -> None:
        first = self._views.forecast(wait.rack).first_place_at(
            wait.part.step, self._claims.ahead_of(wait)
        )
        wait.expected_seconds = first - self._moment.now
        self._claims.add(wait)
        self._state.waits_by_part[wait.part] = wait

    def _keep(self, part: Part, wait: Wait | None) -> int:
        """Return how many tasks wait on; 0 for all, before the first review."""
        self._holding.add(part)
        if wait is None:
            return 0
        record_decline(self._fleet, wait, self._moment.now)
        return wait.held

    def _release(self, wait: Wait | None, reason: WaitOutcome) -> None:
        if wait is None:
            return
        wait.reason = reason
        wait.held = 0
        wait.review_at = 0
        wait.declined_at = None
        wait.is_over = reason in _LAST_REASONS

    def _find_worth(self, part: Part) -> PlaceWorth:
        near_seconds = self._state.durations.expect(part)
        factor = self._state.terms.slowdown_factor
        return find_worth(part, near_seconds, factor, self._moment)

    def _propose(self, part: Part, rack: str, tasks: list[Task]) -> Wait:
        self._state.seen += 1
        return Wait(
            part=part,
            rack=rack,
            tasks=len(tasks),
            rank=self._find_worth(part).rank(self._state.seen),
        )

    def _weigh(self, wait: Wait, tasks: list[Task]) -> WaitInputs:
        part = wait.part
        now = self._moment.now
        worth = self._find_worth(part)
        # It uses the rank that its own claim is filed under.
        ahead = self._claims.ahead_of(wait)
        wait.saved_seconds = worth.saved_seconds
        wait.rank = worth.rank(wait.rank[-1])
        forecast = self._views.forecast(wait.rack)
        return WaitInputs(
            tasks=len(tasks),
            places_within=lambda seconds: forecast.count_places(
                part.step, now + seconds, ahead
            ),
            has_rack=self._views.has_workers(part, wait.rack),
            saved_seconds=worth.saved_seconds,
            limit_seconds=limit_seconds(worth.saved_seconds),
            waited_seconds=wait.waited_seconds,
            idle_left_seconds=idle_left_seconds(self._fleet, part.job, now),
            is_whole=part.step.same_rack,
        )
