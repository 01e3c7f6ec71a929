"""Starts of runs: planned, offered to their agents, then committed.

The orders follow the commit; see ``wasabiturn/batch/orders/planned_starts.py``.
"""

import time
from typing import Any, final

import attrs

from wasabiturn.batch.fleet import Fleet
from wasabiturn.batch.orders.planned_starts import PlannedStarts
from wasabiturn.batch.placing.forecast import Forecasts
from wasabiturn.batch.placing.locality.state import (
    NO_LOCALITY,
    EndedWait,
    LocalityState,
    LocalityTerms,
)
from wasabiturn.batch.placing.sharing import set_pace
from wasabiturn.batch.planning import plan_starts
from wasabiturn.batch.queueing.ordering import Moment
from wasabiturn.messages.batch import StartRun
from wasabiturn.process import exposition
from wasabiturn.process.control.batch.offers import (
    Withdrawal,
    withdraw_missed_offers,
)
from wasabiturn.process.control.batch.pipeline import Pipeline
from wasabiturn.utils.logs import create_component_log

# Receipts that come within this time go into one commit.
RECEIPTS_SECONDS = 0.001
_MS = 1000

_log = create_component_log('queues')


def wall_clock_ms() -> int:
    """Return the Unix time in milliseconds; it may jump when set."""
    return int(time.time() * _MS)


@final
@attrs.frozen
class TermSettings:
    """Settings of a leader term."""

    lease_ms: int
    locality: LocalityTerms = NO_LOCALITY
    orders_by_priority: bool = False


@final
class RunStarter:
    """Plans the starts of one leader term, and commits them."""

    def __init__(
        self,
        pipeline: Pipeline,
        planned_starts: PlannedStarts,
        fleet: Fleet,
        clock: Any,
    ) -> None:
        """Create it; ``clock`` is that of the loop."""
        self.planned_starts = planned_starts
        self._pipeline = pipeline
        self._fleet = fleet
        self._clock = clock
        self._commit_call: Any = None
        # Worker incarnations with starts that are planned and not offered.
        self._to_offer: set[tuple[str, int]] = set()

    def follow(self, terms: LocalityTerms) -> None:
        """Let tasks wait for their racks; earlier waits are used up."""
        locality = LocalityState(terms)
        locality.use_up(self._pipeline.batch_state.open_jobs_by_id.values())
        self._fleet.locality = locality

    def plan(self, forecasts: Forecasts, now: float) -> None:
        """Plan runs; ``finish_plan`` is to follow, also after an error."""
        batch_state = self._pipeline.batch_state
        moment = Moment(now=now, wall_ms=wall_clock_ms())
        for start in plan_starts(batch_state, self._fleet, forecasts, moment):
            if self.planned_starts.plan(start, now):
                self._to_offer.add((start.worker, start.born_ms))
            _set_initial_pace(self._fleet, forecasts, start, now)
            exposition.runs.labels('started').inc()
            _log_start(self._pipeline, start)
        for wait in self._fleet.locality.take_ended():
            _report_wait(wait)

    def finish_plan(self) -> set[tuple[str, int]]:
        """Commit the starts that need no offer.

        Returns the worker incarnations that are to be offered starts.
        """
        self.planned_starts.revoke_partial_gangs()
        self._commit_ready()
        to_offer = self._to_offer
        self._to_offer = set()
        return to_offer

    def commit_soon(self) -> None:
        """Commit the starts that their agents have got, in a moment."""
        if self._commit_call is None and not self._pipeline.is_closed:
            self._commit_call = self._clock.callLater(
                RECEIPTS_SECONDS, self._commit_received
            )

    def withdraw_missed(self, now: float) -> Withdrawal:
        """Withdraw the starts that were offered without a receipt."""
        return withdraw_missed_offers(self._fleet, self.planned_starts, now)

    def close(self) -> None:
        """Commit no more starts."""
        if self._commit_call is not None:
            self._commit_call.cancel()
            self._commit_call = None

    def _commit_received(self) -> None:
        self._commit_call = None
        self._commit_ready()

    def _commit_ready(self) -> None:
        clock_ms = self._pipeline.read_clock()
        ready = self.planned_starts.take_ready(clock_ms)
        self._pipeline.commit_planned(ready)


def _set_initial_pace(
    fleet: Fleet, forecasts: Forecasts, start: StartRun, now: float
) -> None:
    """Throttle interfering tasks at once, not after the first samples."""
    worker = fleet.find(start.worker, start.born_ms)
    if worker is not None and worker.lasting_millicores:
        set_pace(worker, forecasts.interference, now)


def _report_wait(wait: EndedWait) -> None:
    exposition.rack_wait_seconds.labels(wait.outcome.value).observe(
        wait.waited_seconds
    )
    _log.decision(
        'wait for rack ended',
        step=wait.part,
        rack=wait.rack,
        outcome=wait.outcome.value,
        waited_seconds=round(wait.waited_seconds, 3),
        expected_seconds=round(wait.expected_seconds, 3),
        saved_seconds=round(wait.saved_seconds, 3),
        near=wait.near,
        far=wait.far,
    )


def _log_start(pipeline: Pipeline, start: StartRun) -> None:
    _log.decision(
        'starts run',
        task=start.task,
        run=start.run,
        worker=start.worker,
    )
    if start.task in pipeline.batch_state.suspects_by_name:
        _log.decision('isolates suspect', task=start.task, worker=start.worker)
