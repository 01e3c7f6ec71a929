"""Scheduler of the control leader.

It answers heartbeats of agents with orders, proposes transitions of tasks
through the replicated log, and pushes orders once they are committed. One
command is under way at a time, so each decision sees the last one's result.
"""

from typing import Any, final

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import LoopingCall
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
from wasabiturn.utils.logs import create_part_log
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
# Reports and writes within this time are planned together.
PLAN_SECONDS = 0.02

_log = create_part_log('placement')


@final
class Scheduler:
    """Places tasks while this control instance leads."""

    def __init__(
        self,
        context: Context,
        replica: Replica,
        dispatch: Dispatch,
    ) -> None:
        """Create the scheduler of ``replica``; ``start`` begins to work."""
        self._context = context
        self._replica = replica
        self._table: PlacementTable | None = None
        self._publisher = OrderPublisher(replica)
        self._reported_by_task: dict[str, ReportedChange] = {}
        self._is_proposing = False
        self._wake: Any = None
        self._ticker = LoopingCall(self._tick)
        self._ticker.clock = context.reactor
        dispatch.handle(Method.heartbeat, Heartbeat, self._handle_heartbeat)
        dispatch.on_close.append(self._publisher.forget_link)
        replica.on_applied.append(self._handle_applied)
        replica.on_restored.append(self._handle_role_change)
        replica.on_role_change.append(self._handle_role_change)

    def start(self) -> None:
        """Begin to tick."""
        self._ticker.start(TICK_SECONDS, now=False)

    def drain(self) -> Deferred[None]:
        """Stop planning."""
        self.close()
        return succeed(None)

    def close(self) -> None:
        """Stop the timers and forget the table."""
        self._table = None
        if self._ticker.running:
            self._ticker.stop()
        if self._wake is not None:
            self._wake.cancel()
            self._wake = None

    def _now(self) -> float:
        return float(self._context.reactor.seconds())

    def _handle_role_change(self) -> None:
        self._table = None
        self._reported_by_task.clear()
        if self._replica.holds_lease(self._now()):
            self._begin_to_lead()

    def _begin_to_lead(self) -> None:
        """Build the table once all that was committed is applied."""
        barrier = self._replica.read_barrier()
        barrier.addCallbacks(self._build_table, self._log_failure)

    def _build_table(self, nothing: None) -> None:
        now = self._now()
        if self._table is not None or not self._replica.holds_lease(now):
            return
        self._table = create_table(now, self._replica.state.resources_by_kind)
        _log.event('leads', tasks=len(self._table.specs_by_task))

    def _tick(self) -> None:
        leads = self._replica.holds_lease(self._now())
        if leads and self._table is None:
            self._begin_to_lead()
        elif leads and self._table is not None:
            self._plan(self._table)
        else:
            self._table = None

    def _wake_up(self) -> None:
        if self._wake is None and self._ticker.running:
            self._wake = self._context.reactor.callLater(
                PLAN_SECONDS,
                self._run_wake,
            )

    def _run_wake(self) -> None:
        self._wake = None
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
        self._publisher.remember_link(worker, link)
        learn_from_heartbeat(table, worker, heartbeat, now)
        changed = evaluate_reports(table, worker, heartbeat.attempts, now)
        self._reported_by_task.update(changed)
        if changed or len(table.queue):
            self._wake_up()
        return self._publisher.answer(table, worker, now)

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
        update = UpdateTasks(
            transitions=list(planned.transitions_by_task.values()),
            surplus_services=planned.surplus_services,
        )
        submitted = self._replica.submit(Command(update_tasks=update))
        submitted.addCallbacks(self._finish, self._abandon, (planned,))
        submitted.addErrback(self._log_failure)

    def _finish(self, outcome: Outcome, planned: Plan) -> None:
        self._is_proposing = False
        table = self._table
        if table is None:
            return
        codes = zip(planned.transitions_by_task, outcome.codes, strict=True)
        for task, code in codes:
            if code != OutcomeCode.ok:
                self._restore(table, task)
        self._wake_up()

    def _abandon(self, failure: Failure) -> None:
        self._is_proposing = False
        self._table = None
        self._log_failure(failure)

    def _restore(self, table: PlacementTable, task: str) -> None:
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
            _take_change(table, change.resource, change.removed)
        if applied.changes and applied.command.update_tasks is None:
            self._wake_up()

    def _log_failure(self, failure: Failure) -> None:
        _log.warning('step failed', error=repr(failure.value))


def create_scheduler(
    context: Context,
    replica: Replica,
    dispatch: Dispatch,
) -> Scheduler:
    """Create the scheduler of a control instance."""
    return Scheduler(context=context, replica=replica, dispatch=dispatch)


def _take_change(
    table: PlacementTable,
    resource: Resource,
    is_removed: bool,
) -> None:
    if is_removed:
        remove_resource(table, resource)
    else:
        put_resource(table, resource)
