"""Racks as one plan sees them: workers, expected releases and claims."""

from typing import final

import attrs

from wasabiturn.batch.fleet import Fleet, Worker
from wasabiturn.batch.placing.acceptance import is_fresh
from wasabiturn.batch.placing.candidates import (
    UNSUITABLE,
    Candidates,
    count_by_worker,
    score_worker,
)
from wasabiturn.batch.placing.locality.rack_forecast import (
    RACK_FORECAST_SECONDS,
    RackForecast,
)
from wasabiturn.batch.placing.locality.rack_releases import create_rack_forecast
from wasabiturn.batch.queueing.ordering import has_no_chance
from wasabiturn.batch.state.jobs import Part


@final
@attrs.define
class RackViews:
    """What a plan knows of each rack; created anew for each plan."""

    fleet: Fleet
    candidates: Candidates
    _near_by_rack: dict[str, Candidates] = attrs.field(factory=dict)
    # Steps of which a task found no place in the rack.
    _unplaced_by_rack: dict[str, list[Part]] = attrs.field(factory=dict)
    # Racks with a worker that reported a moment ago.
    _fresh_racks: set[str] | None = None
    # A worker where a place was found last.
    _last_free: Worker | None = None

    def near(self, rack: str) -> Candidates:
        """Return the candidates in ``rack``."""
        if not self._near_by_rack:
            self._group_workers()
        near = self._near_by_rack.get(rack)
        if near is None:
            near = attrs.evolve(self.candidates, workers=[])
            self._near_by_rack[rack] = near
        return near

    def is_fresh(self, rack: str) -> bool:
        """Return whether a worker in ``rack`` reported a moment ago."""
        if self._fresh_racks is None:
            self._fresh_racks = {
                worker.report.rack
                for worker in self.candidates.workers
                if is_fresh(worker, self.candidates.now)
            }
        return rack in self._fresh_racks

    def has_workers(self, part: Part, rack: str) -> bool:
        """Return whether workers in ``rack`` may take tasks of ``part``."""
        step = part.step
        return any(
            is_fresh(worker, self.candidates.now)
            and worker.report.millicores >= step.millicores
            and worker.report.memory_mb >= step.memory_mb
            and worker.report.service_name
            == part.job.accepted.terms.service_name
            for worker in self.near(rack).workers
        )

    def is_known_full(self, part: Part, rack: str) -> bool:
        """Return whether a step that needs no more found no place there."""
        return any(
            has_no_chance(part, each)
            for each in self._unplaced_by_rack.get(rack, ())
        )

    def record_full(self, part: Part, rack: str) -> None:
        """Record that tasks of ``part`` found no place in ``rack``."""
        if not self.is_known_full(part, rack):
            self._unplaced_by_rack.setdefault(rack, []).append(part)

    def forecast(self, rack: str) -> RackForecast:
        """Return when capacity is expected to be released in ``rack``."""
        state = self.fleet.locality
        now = self.candidates.now
        known = state.forecast_by_rack.get(rack)
        if known is None or now >= known.created_at + RACK_FORECAST_SECONDS:
            known = create_rack_forecast(
                self.near(rack).workers,
                state.durations,
                state.terms.slowdown_factor,
                now,
            )
            # Callers may name racks without end that no worker is in.
            if self.near(rack).workers:
                state.forecast_by_rack[rack] = known
        return known

    def has_far_place(self, part: Part, rack: str) -> bool:
        """Return whether a task may start now on a worker elsewhere."""
        counts = count_by_worker(part)
        workers = self.candidates.workers
        if self._last_free is not None:
            workers = [self._last_free, *workers]
        for worker in workers:
            if worker.report.rack == rack:
                continue
            score = score_worker(part, worker, self.candidates, counts)
            if score > UNSUITABLE:
                self._last_free = worker
                return True
        return False

    def _group_workers(self) -> None:
        workers_by_rack: dict[str, list[Worker]] = {}
        for worker in self.candidates.workers:
            rack = worker.report.rack
            workers_by_rack.setdefault(rack, []).append(worker)
        for rack, workers in workers_by_rack.items():
            near = attrs.evolve(self.candidates, workers=workers)
            near.accepts_any_worker = False
            self._near_by_rack[rack] = near
