"""Scheduler of the control leader.

It replies to heartbeats of agents with orders, proposes task transitions
through the replicated log, and pushes orders once they are committed. Only one
command is in flight at a time, so each plan sees the result of the last one.
"""

from typing import Any, final

from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure

from wasabiturn.connection.calls import CallError
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.link import Link
from wasabiturn.messages.kinds import FailureCode, Kind, Method, OutcomeCode
from wasabiturn.messages.session import Heartbeat, Orders
from wasabiturn.messages.state import (
    Command,
    Outcome,
    Resource,
    UpdateTasks,
)
from wasabiturn.process.control.order_publisher import OrderPublisher
from wasabiturn.process.daemon import Context
from wasabiturn.utils.logs import create_component_log
from wasabiturn.utils.ticker import Ticker
from wasabiturn.version.placement.heartbeats import (
    ReportedChange,
    evaluate_reports,
    register_worker,
)
from wasabiturn.version.placement.learning import learn_from_heartbeat
from wasabiturn.version.placement.plan import Plan
from wasabiturn.version.placement.planner import plan
from wasabiturn.version.placement.table import (
    PlacementTable,
    create_table,
    put_resource,
    remove_resource,
)
from wasabiturn.version.replica import AppliedCommand, Replica

TICK_SECONDS = 0.25
# Reports and writes that arrive within this delay share one plan.
PLAN_DELAY_SECONDS = 0.02

_log = create_component_log('placement')


@final
class Scheduler:
    """Places tasks while this control instance leads."""

    def __init__(
        self,
        context: Context,
        replica: Replica,
        dispatch: Dispatch,
    ) -> None:
        """Create the scheduler of ``replica``; ``start`` begins planning."""
        self._context = context
        self._replica = replica
        self._table: PlacementTable | None = None
        self._publisher = OrderPublisher(replica)
        self._reported_by_task: dict[str, ReportedChange] = {}
        self._is_proposing = False
        self._plan_call: Any = None
        self._ticker = Ticker(self._tick, context.reactor)
        dispatch.handle(Method.heartbeat, Heartbeat, self._handle_heartbeat)
        dispatch.on_close.append(self._publisher.remove_link)
        replica.on_applied.append(self._handle_applied)
        replica.on_restored.append(self._handle_role_change)
        replica.on_role_change.append(self._handle_role_change)

    def start(self) -> None:
        """Start the planning timer."""
        self._ticker.start(TICK_SECONDS, now=False)

    def drain(self) -> Deferred[None]:
        """Stop planning."""
        self.close()
        return succeed(None)

    def close(self) -> None:
        """Stop the timers and drop the placement table."""
        self._table = None
        if self._ticker.running:
            self._ticker.stop()
        if self._plan_call is not None:
            self._plan_call.cancel()
            self._plan_call = None

    def _now(self) -> float:
        return float(self._context.reactor.seconds())

    def _handle_role_change(self) -> None:
        self._table = None
        self._reported_by_task.clear()
        if self._replica.holds_lease(self._now()):
            self._start_leading()

    def _start_leading(self) -> None:
        """Build the placement table once all committed entries are applied."""
        barrier = self._replica.read_barrier()
        barrier.addCallbacks(self._build_table, self._log_failure)

    def _build_table(self, _: None) -> None:
        now = self._now()
        if self._table is not None or not self._replica.holds_lease(now):
            return
        self._table = create_table(now, self._replica.state.resources_by_kind)
        _log.event(
            'started scheduling as leader',
            tasks=len(self._table.specs_by_task),
        )

    def _tick(self) -> None:
        leads = self._replica.holds_lease(self._now())
        if leads and self._table is None:
            self._start_leading()
        elif leads and self._table is not None:
            self._plan(self._table)
        else:
            self._table = None

    def _schedule_plan(self) -> None:
        if self._plan_call is None and self._ticker.running:
            self._plan_call = self._context.reactor.callLater(
                PLAN_DELAY_SECONDS,
                self._run_scheduled_plan,
            )

    def _run_scheduled_plan(self) -> None:
        self._plan_call = None
        self._tick()

    def _handle_heartbeat(self, link: Link, heartbeat: Heartbeat) -> Orders:
        now = self._now()
        table = self._table
        if table is None or not self._replica.holds_lease(now):
            leader = self._replica.leader() or ''
            raise CallError(FailureCode.not_leader, 'not the leader', leader)
        registered = register_worker(table, heartbeat, now)
        if registered.is_error():
            raise CallError(FailureCode.invalid, registered.error)
        worker = registered.ok
        self._publisher.set_link(worker, link)
        learn_from_heartbeat(table, worker, heartbeat, now)
        changed = evaluate_reports(table, worker, heartbeat.attempts, now)
        self._reported_by_task.update(changed)
        if changed or len(table.queue):
            self._schedule_plan()
        return self._publisher.issue_orders(table, worker, now)

    def _plan(self, table: PlacementTable) -> None:
        if self._is_proposing:
            return
        self._publisher.push(table, self._now())
        planned = plan(table, self._reported_by_task, self._now())
        for decision in planned.decisions:
            _log.decision(
                decision.sentence,
                chosen=decision.chosen,
                **decision.inputs,
            )
        if not planned.is_empty():
            self._propose(planned)

    def _propose(self, planned: Plan) -> None:
        self._is_proposing = True
        self._publisher.proposed_tasks.update(planned.transitions_by_task)
        update = UpdateTasks(
            transitions=list(planned.transitions_by_task.values()),
            surplus_services=planned.surplus_services,
        )
        submitted = self._replica.submit(Command(update_tasks=update))
        submitted.addCallbacks(
            self._handle_outcome,
            self._handle_submit_failure,
            (planned,),
        )
        submitted.addErrback(self._log_failure)

    def _finish_proposing(self) -> None:
        self._is_proposing = False
        self._publisher.proposed_tasks.clear()

    def _handle_outcome(self, outcome: Outcome, planned: Plan) -> None:
        self._finish_proposing()
        table = self._table
        if table is None:
            return
        codes = zip(planned.transitions_by_task, outcome.codes, strict=True)
        for task, code in codes:
            if code != OutcomeCode.ok:
                self._reload_task(table, task)
        self._schedule_plan()

    def _handle_submit_failure(self, failure: Failure) -> None:
        self._finish_proposing()
        self._table = None
        self._log_failure(failure)

    def _reload_task(self, table: PlacementTable, task: str) -> None:
        tasks_by_name = self._replica.state.resources_by_kind[Kind.task]
        resource = tasks_by_name.get(task)
        if resource is None:
            table.remove_task(task)
        else:
            put_resource(table, resource)

    def _handle_applied(self, applied: AppliedCommand) -> None:
        table = self._table
        if table is None:
            return
        for change in applied.changes:
            _apply_change(table, change.resource, change.removed)
        if applied.changes and applied.command.update_tasks is None:
            self._schedule_plan()

    def _log_failure(self, failure: Failure) -> None:
        _log.warning(
            'scheduling step failed; retrying while this member leads',
            error=repr(failure.value),
        )


def create_scheduler(
    context: Context,
    replica: Replica,
    dispatch: Dispatch,
) -> Scheduler:
    """Create the scheduler of a control instance."""
    return Scheduler(context=context, replica=replica, dispatch=dispatch)


def _apply_change(
    table: PlacementTable,
    resource: Resource,
    is_removed: bool,
) -> None:
    if is_removed:
        remove_resource(table, resource)
    else:
        put_resource(table, resource)
