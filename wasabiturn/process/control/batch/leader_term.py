"""One term of the queues' leader, which plans runs and sends orders."""

from collections.abc import Callable
from typing import Any, final

from wasabiturn.batch import BatchState
from wasabiturn.batch.fleet import UNKNOWN, Fleet, Worker
from wasabiturn.batch.orders.bindings import bind_ended_task, restore_bindings
from wasabiturn.batch.orders.lost_runs import find_expired_workers, give_up_runs
from wasabiturn.batch.orders.planned_starts import PlannedStarts
from wasabiturn.batch.placing.forecast import Forecasts
from wasabiturn.batch.placing.interference import (
    list_pressure_records,
    restore_interference,
)
from wasabiturn.batch.queueing.progress import record_end, restore_idle_times
from wasabiturn.batch.state.clock import StateClock
from wasabiturn.batch.state.jobs import Task
from wasabiturn.messages.batch import BatchChange, EndRun, MoveLimit, StartRun
from wasabiturn.process import exposition
from wasabiturn.process.control.batch.bound_tasks import (
    release_bound_tasks,
    report_bound_tasks,
)
from wasabiturn.process.control.batch.crash_watch import CrashWatch
from wasabiturn.process.control.batch.idle_jobs import IdleJobWatch
from wasabiturn.process.control.batch.order_delivery import OrderDelivery
from wasabiturn.process.control.batch.pipeline import (
    Pipeline,
    PipelineHooks,
)
from wasabiturn.process.control.batch.starts import RunStarter, TermSettings
from wasabiturn.process.control.batch.stops import stop_unwanted_runs
from wasabiturn.utils.logs import create_component_log
from wasabiturn.version.replica import Replica

# Added to a lease before its runs are given up: a worker's clock may run 2 %
# slow, and an answer takes some time to arrive.
LEASE_DRIFT_FACTOR = 1.03
LEASE_MARGIN_SECONDS = 0.2
# How often the interference estimates are stored for the next leader.
PRESSURES_STORE_SECONDS = 2.0
# How often the time is stored, while tasks wait for the end of orders.
CLOCK_STORE_SECONDS = 1.0
_MS = 1000

_log = create_component_log('queues')


@final
class LeaderTerm:
    """Plans runs on a working copy of the committed state until closed."""

    def __init__(
        self,
        replica: Replica,
        clock: Any,
        batch_state: BatchState,
        state_clock: StateClock,
        settings: TermSettings,
        fence: int,
        on_failure: Callable[[], None],
    ) -> None:
        """Reserve capacity for the runs in ``batch_state``.

        That is a copy of the committed state, on which this term works.
        ``fence`` is above all tokens of earlier terms.
        """
        now = float(clock.seconds())
        self.lease_ms = settings.lease_ms
        self._replica = replica
        self._clock = clock
        self.fleet = Fleet(fence=fence)
        self.delivery = OrderDelivery(
            self.fleet,
            clock,
            self._may_order,
            on_received=lambda: self.starter.commit_soon(),
        )
        self.fleet.earlier_leases_end_at = self.lease_expiry(now)
        for task in batch_state.active_by_name.values():
            self._reserve_capacity(task)
            self.delivery.committed_starts.add((task.name, task.run))
        self.fleet.mark_inherited(state_clock, now)
        restore_bindings(self.fleet, batch_state, state_clock, now)
        restore_idle_times(self.fleet, batch_state, state_clock, now)
        self.fleet.invalidate_paces(now)
        self.interference = restore_interference(batch_state.pressures, now)
        self._forecasts = Forecasts(self.interference)
        self._pressures_due_at = now + PRESSURES_STORE_SECONDS
        self._clock_due_at = now
        batch_state.on_start = self._reserve_capacity
        batch_state.on_end = self._release_capacity
        planned_starts = PlannedStarts(batch_state, self.fleet)
        self.pipeline = Pipeline(
            replica=replica,
            clock=clock,
            batch_state=batch_state,
            state_clock=state_clock,
            hooks=PipelineHooks(
                on_flush=self._plan,
                after_flush=lambda: self.delivery.send_all(
                    self.starter.finish_plan()
                ),
                on_commit=self._notify_agents,
                on_failure=on_failure,
                before_apply=planned_starts.revoke_before,
            ),
        )
        self.starter = RunStarter(
            self.pipeline, planned_starts, self.fleet, clock
        )
        self.starter.follow(settings.locality)
        self.fleet.orders_by_priority = settings.orders_by_priority
        self.crash_watch = CrashWatch(self.fleet, self.pipeline)
        self._idle_watch = IdleJobWatch(batch_state, self.fleet)
        _log.event(
            'leadership taken over',
            fence=self.fleet.fence,
            jobs=len(batch_state.open_jobs_by_id),
            runs=len(batch_state.active_by_name),
            bound_tasks=len(self.fleet.bound_until_by_task),
        )

    def close(self) -> None:
        """Stop planning; changes not yet submitted are certainly not made."""
        _log.event('leadership ended', fence=self.fleet.fence)
        self.pipeline.batch_state.on_start = None
        self.pipeline.batch_state.on_end = None
        self.starter.close()
        self.pipeline.close()

    def tick(self) -> None:
        """Give up runs whose leases have expired, and schedule planning."""
        now = self._now()
        if not self._replica.holds_lease(now):
            return
        for worker in find_expired_workers(self.fleet, now):
            self.give_up_runs(worker, 'lease expired', now)
        self._withdraw_missed_offers(now)
        self.crash_watch.review(now)
        self._stop_unwanted_runs(now)
        self.starter.planned_starts.revoke_unwanted()
        release_bound_tasks(
            self.fleet,
            self.pipeline.batch_state,
            self.lease_expiry(now) - now,
            now,
        )
        self.fleet.remove_superseded()
        self.interference.drop_decayed(now)
        self._forecasts.drop_outdated(now)
        self._store_for_next_leader(now)
        self._idle_watch.review(self._forecasts, now)
        self.pipeline.schedule_flush()

    def give_up_runs(self, worker: Worker, reason: str, now: float) -> None:
        """Give up the runs of a worker that are certainly over."""
        was_gone = worker.is_gone
        ends = give_up_runs(self.fleet, worker, now)
        if not was_gone:
            self.delivery.send((worker.name, worker.born_ms))
        self.store_lost_runs(worker, ends, reason, now)

    def store_lost_runs(
        self, worker: Worker, ends: list[EndRun], reason: str, now: float
    ) -> None:
        """Commit the ends of runs that went with their worker."""
        if not ends:
            return
        exposition.given_up_runs.labels(reason).inc(len(ends))
        _log.event(
            'runs are given up',
            worker=worker.name,
            born_ms=worker.born_ms,
            reason=reason,
            heard_seconds=now - worker.heard_at,
            lease_seconds=worker.lease_ends_at - now,
            kept=len(worker.allocations_by_task) - len(ends),
            runs=[f'{end.task}/{end.run}' for end in ends],
        )
        self.store_ends(ends)
        self.crash_watch.review(now)

    def store_ends(self, ends: list[EndRun]) -> BatchChange:
        """Commit ends of runs; return the change that they are part of."""
        change = self.pipeline.add(BatchChange(ends=ends))
        report_bound_tasks(
            self.fleet, self.pipeline.batch_state, ends, self._now()
        )
        return change

    def lease_expiry(self, now: float) -> float:
        """Return when a lease granted at ``now`` has certainly expired."""
        seconds = self.lease_ms / _MS * LEASE_DRIFT_FACTOR
        return now + seconds + LEASE_MARGIN_SECONDS

    def _now(self) -> float:
        return float(self._clock.seconds())

    def _may_order(self) -> bool:
        if self.pipeline.is_closed:
            return False
        return self._replica.holds_lease(self._now())

    def _reserve_capacity(self, task: Task) -> None:
        now = self._now()
        worker = self.fleet.open(
            task.worker,
            task.born_ms,
            self.lease_expiry(now),
            agent=task.agent,
        )
        worker.allocate(task, now)
        if not task.is_bound:
            self.fleet.unbind(task.name)
        worker.allocations_by_task[task.name].is_ordered = False

    def _release_capacity(self, task: Task) -> None:
        worker = self.fleet.worker_of(task)
        self.delivery.committed_starts.discard((task.name, task.run))
        if worker is not None:
            allocation = worker.release(task)
            if allocation is not None:
                record_end(self.fleet, worker, allocation)
            if task.is_bound and allocation is not None:
                bind_ended_task(self.fleet, worker, allocation, self._now())

    def _store_for_next_leader(self, now: float) -> None:
        self._store_pressures(now)
        self._store_clock(now)

    def _store_pressures(self, now: float) -> None:
        """Store the interference estimates for the next leader."""
        if now < self._pressures_due_at:
            return
        self._forecasts = Forecasts(self.interference)
        self._pressures_due_at = now + PRESSURES_STORE_SECONDS
        records = list_pressure_records(self.interference)
        if records and records != self.pipeline.batch_state.pressures:
            self.pipeline.add(BatchChange(pressures=records))

    def _store_clock(self, now: float) -> None:
        """Store the time for members that restart, while it counts."""
        if now < self._clock_due_at:
            return
        self._clock_due_at = now + CLOCK_STORE_SECONDS
        if self.fleet.awaits_state_clock():
            clock_ms = max(self.pipeline.read_clock(), 1)
            self.pipeline.add(BatchChange(clock_ms=clock_ms))

    def _stop_unwanted_runs(self, now: float) -> None:
        incarnations = stop_unwanted_runs(
            self.pipeline.batch_state, self.fleet, self._forecasts, now
        )
        self.delivery.send_all(incarnations)

    def _plan(self) -> None:
        now = self._now()
        if not self._replica.holds_lease(now):
            return
        self.starter.plan(self._forecasts, now)

    def _notify_agents(self, change: BatchChange) -> None:
        """Send orders to the agents that a committed change concerns."""
        incarnations_to_notify: set[tuple[str, int]] = set()
        for start in change.starts:
            self.delivery.committed_starts.add((start.task, start.run))
            incarnations_to_notify.add((start.worker, start.born_ms))
            self._follow_limit(start)
        for limit in change.limits:
            incarnations_to_notify.update(self._follow_limit(limit))
        if change.cancels or change.give_ups:
            incarnations_to_notify.update(self.delivery.links_by_incarnation)
        for incarnation, worker in self.fleet.workers_by_incarnation.items():
            if _advance_committed_end(worker, change):
                incarnations_to_notify.add(incarnation)
        self.delivery.send_all(incarnations_to_notify)

    def _follow_limit(
        self, committed: StartRun | MoveLimit
    ) -> list[tuple[str, int]]:
        """Order a run until the committed limit; return its incarnation."""
        task = self.pipeline.batch_state.active_by_name.get(committed.task)
        worker = None if task is None else self.fleet.worker_of(task)
        if worker is None:
            return []
        allocation = worker.allocations_by_task.get(committed.task)
        if allocation is None or allocation.run != committed.run:
            return []
        if allocation.orders_end_at != UNKNOWN:
            # It was counted on that no order is sent after the earlier limit.
            return []
        allocation.order_limit_at = self.pipeline.to_loop(
            committed.order_limit_ms
        )
        return [(worker.name, worker.born_ms)]

    def _withdraw_missed_offers(self, now: float) -> None:
        withdrawal = self.starter.withdraw_missed(now)
        if withdrawal.ends:
            self.store_ends(withdrawal.ends)
        self.delivery.send_all(withdrawal.incarnations_to_notify)


def _advance_committed_end(worker: Worker, change: BatchChange) -> bool:
    """Acknowledge the run ends that ``change`` committed.

    Returns whether there are any; the worker may then forget them.
    """
    pending = worker.pending_ends
    before = worker.committed_end
    while pending and pending[0][1] is change:
        worker.committed_end = pending.popleft()[0]
    return worker.committed_end > before
