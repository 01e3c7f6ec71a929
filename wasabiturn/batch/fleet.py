"""Workers as the leader sees them, with the resources that runs take.

A worker is reconciled once it has listed its runs under its current fencing
token; from then on no order under an earlier token can take effect there. Until
then it is charged for the runs in the replicated state. The token rises with
the term and, within a term, as ``wasabiturn/batch/orders/fences.py`` tells.
"""

from collections import deque
from typing import final

import attrs

from wasabiturn.batch.isolation.state import IsolationState
from wasabiturn.batch.placing.locality.state import LocalityState
from wasabiturn.batch.placing.move_state import Move
from wasabiturn.batch.queueing.idle_state import IdleState
from wasabiturn.batch.state.clock import StateClock
from wasabiturn.batch.state.jobs import Task
from wasabiturn.messages.batch import (
    BatchChange,
    RunningRow,
    Step,
    WorkerReport,
)
from wasabiturn.messages.kinds import CrashRole
from wasabiturn.messages.limits import (
    LATE_RUN_SECONDS,
    ORDER_LIFETIME_SECONDS,
)

NEVER = float('-inf')
UNKNOWN = float('inf')
_MS = 1000
# A worker without a report for this long gets no new work.
REPORT_TIMEOUT_SECONDS = 2.5
# Share of its declared CPU that a lasting task is expected to use.
LASTING_CPU_USE = 0.55
# Parts that end are not removed one by one; above this number all entries are
# dropped.
MAX_REFUSED_PARTS = 10_000
# Tasks of one worker, however little they need: its orders, with texts of 4,000
# bytes, fit in a frame, and its reports are handled in a short turn.
MAX_RUNS = 1000


@final
@attrs.define(eq=False)
class Allocation:
    """Resources that a run takes on its worker, and the state of the run."""

    task: Task
    run: int
    started_at: float
    # The worker has reported that it has the run.
    is_confirmed: bool = False
    confirmed_at: float | None = None
    # Its start has been among the orders to the worker.
    is_ordered: bool = True
    # Its start is not committed; see ``planned_starts.py``.
    is_planned: bool = False
    # When its start was first offered to the agent, and the number of those
    # orders; see ``wasabiturn/batch/orders/offers.py``.
    offered_at: float | None = None
    offer_number: int = 0
    # When the agent was last known to be there for it.
    received_at: float = NEVER
    # Number of reviews that found the receipt overdue.
    overdue_reviews: int = 0
    # What the crash of its worker tells of its task.
    crash_role: CrashRole = CrashRole.none
    worked_ms: int = 0
    # By then no order to start the run can be carried out any more, not even by
    # a new incarnation of the worker, which has seen no fencing token. UNKNOWN
    # while orders are sent, NEVER once all were answered.
    orders_end_at: float = UNKNOWN
    # After it no order for the run leaves the agent, as far as committed; see
    # ``order_limits.py``.
    order_limit_at: float = UNKNOWN
    # Newest report of the run.
    row: RunningRow | None = None
    # Newest pace order; ``pace_ordered_at`` is None if none was sent.
    ordered_percent: int = 100
    pace_ordered_at: float | None = None
    # The run stalls and is to be stopped; its task moves to another worker.
    is_stop_requested: bool = False
    # An earlier leader started the run; ``started_at`` is when this one began.
    is_inherited: bool = False

    def has_open_order(self, now: float) -> bool:
        """Return whether an order to start the run may be carried out."""
        return self.is_ordered and now < self.orders_end_at

    def may_have_late_run(self, now: float) -> bool:
        """Return whether an order may have begun the run in a later life.

        One that has expired may have done so just before.
        """
        return self.is_ordered and now < self.orders_end_at + LATE_RUN_SECONDS

    def open_ms(self, now: float) -> int:
        """Return for how long yet orders for the run may be carried out.

        Negative if they have expired, 0 if all were answered.
        """
        if not self.may_have_late_run(now):
            return 0
        until = min(self.orders_end_at, now + ORDER_LIFETIME_SECONDS)
        return int((until - now) * _MS) or 1

    @property
    def is_received(self) -> bool:
        """Return whether the agent has shown that it is there."""
        return self.received_at > NEVER

    def confirm(self, now: float) -> None:
        """Record that the run has started; no further order is sent."""
        self.is_confirmed = True
        if self.confirmed_at is None:
            self.confirmed_at = now
        self.task.job.has_begun = True
        self.limit_orders(now)

    def worked_seconds(self, now: float) -> float:
        """Return for how long the run is known to have worked."""
        return 0 if self.confirmed_at is None else now - self.confirmed_at

    def inherit(self, state_clock: StateClock, now: float) -> None:
        """Take from the state what it tells of orders of earlier leaders."""
        self.is_inherited = True
        self.is_ordered = True
        task = self.task
        if task.is_settled:
            self.settle_orders()
        elif task.orders_end_ms:
            self.orders_end_at = state_clock.to_loop(task.orders_end_ms, now)
        elif task.order_limit_ms:
            self.order_limit_at = state_clock.to_loop(task.order_limit_ms, now)

    def settle_orders(self) -> None:
        """Record that all orders to start the run were answered."""
        self.orders_end_at = NEVER

    def limit_orders(self, last_sent_at: float) -> None:
        """Record that no order was sent after ``last_sent_at``."""
        self.orders_end_at = min(
            self.orders_end_at, last_sent_at + ORDER_LIFETIME_SECONDS
        )


@final
@attrs.define(eq=False)
class Worker:
    """One incarnation of a worker, known by its name and time of birth.

    Times are seconds of the leader's event loop, except ``born_ms``.
    """

    name: str
    born_ms: int
    # Fencing token of the orders to it.
    fence: int = 0
    report: WorkerReport = attrs.field(factory=WorkerReport)
    agent: str = ''
    # Process of the agent that reported last; empty before the first report.
    agent_incarnation: str = ''
    # Number of the newest orders to it.
    order_number: int = 0
    heard_at: float = NEVER
    # When an offer to its agent was withdrawn for want of a receipt.
    offer_missed_at: float = NEVER
    # No receipt has come in time since then.
    has_late_receipts: bool = False
    # When a report with a current list of its runs came.
    listed_at: float = NEVER
    # It has listed its runs under its fencing token.
    is_reconciled: bool = False
    # Its runs were declared lost; it gets no lease and no new runs until it
    # lists its runs under the token that was raised for this.
    is_gone: bool = False
    # Since when its agent reports that nothing listens.
    refuses_since: float | None = None
    # When its crash was noticed.
    crashed_at: float | None = None
    # A newer incarnation has reported.
    is_superseded: bool = False
    # By then all runs under leases of this leader or an earlier one have ended.
    lease_ends_at: float = NEVER
    allocations_by_task: dict[str, Allocation] = attrs.field(factory=dict)
    # Sums of the charged resources. ``millicores`` includes the lasting tasks,
    # but not the filling ones.
    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    filling_millicores: int = 0
    # Number of changes of the charged resources.
    charges: int = 0
    lasting_millicores: int = 0
    # Steps of the filling tasks that move here, by task; see ``moves.py``.
    reserved_steps: dict[str, Step] = attrs.field(factory=dict)
    # Number of the newest run end that was received, and of the newest that is
    # committed; those in between are pending.
    seen_end: int = 0
    committed_end: int = 0
    pending_ends: deque[tuple[int, BatchChange]] = attrs.field(factory=deque)
    # Earlier incarnations of the same name with runs whose start orders may
    # still arrive here.
    predecessors: list['Worker'] = attrs.field(factory=list)
    # Run numbers that the worker lists although it should not have them.
    unexpected_runs_by_task: dict[str, int] = attrs.field(factory=dict)
    # Pace of each filling image, and when it fell so low that runs stall.
    percent_by_image: dict[str, int] = attrs.field(factory=dict)
    stalled_at_by_image: dict[str, float] = attrs.field(factory=dict)
    # Figures by task in the newest sample that was evaluated, and its time.
    figures: tuple[tuple[str, float], ...] = ()
    sampled_at: float = NEVER
    # Consecutive samples with a tail latency near or above its goal.
    high_tail_samples: int = 0
    # Recent CPU use of filling images, as shares of the worker.
    recent_uses: dict[str, float] = attrs.field(factory=dict)
    lasting_count_by_image: dict[str, int] = attrs.field(factory=dict)
    # Runs of lasting tasks with a goal for their tail latency, by job and task.
    goal_runs_by_job: dict[str, dict[str, Allocation]] = attrs.field(
        factory=dict
    )
    consecutive_failures: int = 0
    # The worker gets no new tasks before ``avoided_until``, for a failure at
    # ``avoided_since``.
    avoided_since: float = NEVER
    avoided_until: float = NEVER

    def allocate(self, task: Task, now: float) -> None:
        """Charge the resources of the newest run of ``task``."""
        allocation = Allocation(task=task, run=task.run, started_at=now)
        self.allocations_by_task[task.name] = allocation
        if task.step.tail_goal_ms:
            runs = self.goal_runs_by_job.setdefault(task.job.job_id, {})
            runs[task.name] = allocation
        self._account(task, 1)

    def release(self, task: Task) -> Allocation | None:
        """Release the resources of ``task``; return what was charged."""
        allocation = self.allocations_by_task.pop(task.name, None)
        if allocation is not None:
            self._forget_goal(task)
            self._account(task, -1)
        return allocation

    def has_room(
        self,
        millicores: int,
        memory_mb: int,
        accelerator_count: int,
    ) -> bool:
        """Return whether the resources fit beside those already charged.

        What earlier incarnations of the name were ordered to run may run here.
        """
        for each in self.predecessors:
            millicores += each.millicores
            memory_mb += each.memory_mb
            accelerator_count += each.accelerators
        report = self.report
        return (
            self.millicores + millicores <= report.millicores
            and self.memory_mb + memory_mb <= report.memory_mb
            and self.accelerators + accelerator_count <= report.accelerators
        )

    def has_room_for(self, step: Step, tasks: int = 1) -> bool:
        """Return whether tasks fit; lasting ones take reserved places."""
        if len(self.allocations_by_task) + tasks > MAX_RUNS:
            return False
        millicores = 0 if step.fills else step.millicores * tasks
        memory_mb = step.memory_mb * tasks
        accelerators = step.accelerators * tasks
        if self.reserved_steps and not step.lasting:
            memory_mb += self.reserved_memory_mb
            accelerators += self.reserved_accelerators
        return self.has_room(millicores, memory_mb, accelerators)

    @property
    def reserved_memory_mb(self) -> int:
        """Return the memory of the places that are reserved for moves."""
        return sum(step.memory_mb for step in self.reserved_steps.values())

    @property
    def reserved_accelerators(self) -> int:
        """Return the accelerators of these places."""
        return sum(step.accelerators for step in self.reserved_steps.values())

    @property
    def reserved_millicores(self) -> int:
        """Return the CPU for filling tasks of these places."""
        return sum(step.millicores for step in self.reserved_steps.values())

    def is_silent(self, now: float) -> bool:
        """Return whether its agent was not heard for too long."""
        return now >= self.heard_at + REPORT_TIMEOUT_SECONDS

    def list_allocations(self) -> list[Allocation]:
        """Return the runs of the worker and of its predecessors."""
        return [
            allocation
            for each in (self, *self.predecessors)
            for allocation in each.allocations_by_task.values()
        ]

    def is_short_for(self, step: Step) -> bool:
        """Return whether more is charged than there is of what a task takes."""
        report = self.report
        takes_millicores = step.millicores and not step.fills
        return bool(
            (takes_millicores and self.millicores > report.millicores)
            or (step.memory_mb and self.memory_mb > report.memory_mb)
            or (step.accelerators and self.accelerators > report.accelerators)
        )

    def unused_millicores(self) -> float:
        """Return the CPU that is expected to be left for all filling tasks."""
        used = self.millicores - (1 - LASTING_CPU_USE) * self.lasting_millicores
        return self.report.millicores - used

    def _forget_goal(self, task: Task) -> None:
        runs = self.goal_runs_by_job.get(task.job.job_id, {})
        runs.pop(task.name, None)
        if not runs:
            self.goal_runs_by_job.pop(task.job.job_id, None)

    def _account(self, task: Task, sign: int) -> None:
        step = task.step
        self.charges += 1
        if step.fills:
            self.filling_millicores += sign * step.millicores
        else:
            self.millicores += sign * step.millicores
        if step.lasting:
            self.lasting_millicores += sign * step.millicores
            count = self.lasting_count_by_image.get(step.image, 0) + sign
            self.lasting_count_by_image[step.image] = count
        self.memory_mb += sign * step.memory_mb
        self.accelerators += sign * step.accelerators


@final
@attrs.define
class Fleet:
    """Incarnations of workers by name and time of birth.

    ``fence`` is the token of workers for which none was raised.
    """

    fence: int
    # Highest token that was given to a worker.
    newest_fence: int = attrs.field(init=False)
    workers_by_incarnation: dict[tuple[str, int], Worker] = attrs.field(
        factory=dict
    )
    idle: IdleState = attrs.field(factory=IdleState)
    # When a filling part last found no worker, by the name of the part.
    refused_at_by_part: dict[str, float] = attrs.field(factory=dict)
    # The incarnation that reported last, by its agent and by its name.
    reporting_by_agent: dict[str, Worker] = attrs.field(factory=dict)
    reporting_by_name: dict[str, Worker] = attrs.field(factory=dict)
    # Until when each bound task is bound, by the name of the task; see
    # ``wasabiturn/batch/orders/bindings.py``.
    bound_until_by_task: dict[str, float] = attrs.field(factory=dict)
    # Those of them whose machine fell silent before their order was overdue.
    tasks_lost_under_way: set[str] = attrs.field(factory=set)
    # Runs that move to other workers, by task.
    moves_by_task: dict[str, Move] = attrs.field(factory=dict)
    # By then all leases of earlier leaders have ended.
    earlier_leases_end_at: float = NEVER
    isolation: IsolationState = attrs.field(factory=IsolationState)
    locality: LocalityState = attrs.field(factory=LocalityState)
    # The priority of a queue counts in the order of jobs.
    orders_by_priority: bool = False

    def __attrs_post_init__(self) -> None:
        """Start raised tokens above that of all other workers."""
        self.newest_fence = self.fence

    def is_reporting(self, worker: Worker, agent: str) -> bool:
        """Return whether no other incarnation reported after ``worker``.

        Neither one of the same name nor one of the same agent did.
        """
        return (
            self.reporting_by_agent.get(agent) is worker
            and self.reporting_by_name.get(worker.name) is worker
        )

    def record_reporting(self, worker: Worker) -> None:
        """Record that ``worker`` is the incarnation that reported last."""
        self.reporting_by_agent[worker.agent] = worker
        self.reporting_by_name[worker.name] = worker

    def unbind(self, task: str) -> None:
        """Let a task start anywhere; the replicated state is as it was."""
        self.bound_until_by_task.pop(task, None)
        self.tasks_lost_under_way.discard(task)

    def invalidate_paces(self, now: float) -> None:
        """Have all paces ordered again: an earlier leader may have set any."""
        for worker in self.workers_by_incarnation.values():
            for allocation in worker.allocations_by_task.values():
                allocation.pace_ordered_at = now

    def mark_inherited(self, state_clock: StateClock, now: float) -> None:
        """Mark the runs that an earlier leader has started.

        Where the state does not tell until when orders for them are open, this
        leader does not know.
        """
        for worker in self.workers_by_incarnation.values():
            for allocation in worker.allocations_by_task.values():
                allocation.inherit(state_clock, now)

    def awaits_state_clock(self) -> bool:
        """Return whether tasks may wait for a time that the state has."""
        if self.bound_until_by_task:
            return True
        return any(
            allocation.order_limit_at != UNKNOWN and not allocation.is_confirmed
            for worker in self.workers_by_incarnation.values()
            for allocation in worker.allocations_by_task.values()
        )

    def worker_of(self, task: Task) -> Worker | None:
        """Return the worker incarnation with the newest run of a task."""
        return self.workers_by_incarnation.get((task.worker, task.born_ms))

    def find(self, name: str, born_ms: int) -> Worker | None:
        """Return one incarnation of a worker."""
        return self.workers_by_incarnation.get((name, born_ms))

    def open(
        self,
        name: str,
        born_ms: int,
        lease_ends_at: float,
        agent: str = '',
    ) -> Worker:
        """Return one incarnation of a worker, created if it is new."""
        worker = self.find(name, born_ms)
        if worker is None:
            worker = Worker(
                name=name,
                born_ms=born_ms,
                fence=self.fence,
                lease_ends_at=lease_ends_at,
                agent=agent,
            )
            self.workers_by_incarnation[name, born_ms] = worker
        return worker

    def remove_superseded(self) -> None:
        """Remove superseded incarnations that have no runs."""
        if len(self.refused_at_by_part) > MAX_REFUSED_PARTS:
            self.refused_at_by_part.clear()
        self.workers_by_incarnation = {
            incarnation: worker
            for incarnation, worker in self.workers_by_incarnation.items()
            if worker.allocations_by_task or not worker.is_superseded
        }
        if len(self.reporting_by_name) > 2 * len(self.workers_by_incarnation):
            self.reporting_by_name.clear()
