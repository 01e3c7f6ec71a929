"""Messages about queues, their jobs, and the workers that run them.

Field numbers and units are in ``wire/batch.thrift``.
"""

from typing import final

import attrs

from wasabiturn.messages.codec import bind
from wasabiturn.messages.idl import load_idl
from wasabiturn.messages.kinds import (
    BatchTaskState,
    CrashRole,
    JobAction,
    JobOutcome,
    JobState,
    RunEnding,
    StartOutcome,
)

_idl = load_idl('batch.thrift')


@bind(_idl)
@final
@attrs.define
class Step:
    """Step of a job: a number of tasks of one kind."""

    tasks: int = 0
    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    after: list[int] = attrs.field(factory=list)
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ''
    preferred_rack: str = ''
    max_per_worker: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ''
    tail_goal_ms: int = 0
    fills: bool = False
    max_unavailable: int = 0


@bind(_idl)
@final
@attrs.define
class Terms:
    """Terms under which a queue accepted a job."""

    service_name: str = ''
    priority: int = 0
    attempts: int = 0
    stretch: float = 0.0
    slack_ms: int = 0


@bind(_idl)
@final
@attrs.define
class JobDeclaration:
    """Job as declared by its caller."""

    job_id: str = ''
    queue: str = ''
    payload: str = ''
    steps: list[Step] = attrs.field(factory=list)
    occurrences: int = 0
    first_ms: int = 0
    interval_ms: int = 0


@bind(_idl)
@final
@attrs.define
class AcceptJob:
    """Accept a job; ``accepted_ms`` is Unix time on the leader's clock."""

    declaration: JobDeclaration = attrs.field(factory=JobDeclaration)
    terms: Terms = attrs.field(factory=Terms)
    accepted_ms: int = 0


@bind(_idl)
@final
@attrs.define
class StartRun:
    """Start a run of a task on one incarnation of a worker."""

    task: str = ''
    run: int = 0
    worker: str = ''
    born_ms: int = 0
    agent: str = ''
    order_limit_ms: int = 0


@bind(_idl)
@final
@attrs.define
class EndRun:
    """Record how a run ended.

    ``open_ms`` is how long an open order may yet be carried out; it is
    negative if that has expired.
    """

    task: str = ''
    run: int = 0
    ending: RunEnding = attrs.field(default=RunEnding.lost, converter=RunEnding)
    checkpoint: str = ''
    has_open_order: bool = False
    crash_role: CrashRole = attrs.field(
        default=CrashRole.none, converter=CrashRole
    )
    worked_ms: int = 0
    open_ms: int = 0


@bind(_idl)
@final
@attrs.define
class SettledStart:
    """Record that a run has begun, and no more orders for it are sent.

    One may begin it again for ``open_ms`` yet; 0 if all were answered.
    """

    task: str = ''
    run: int = 0
    open_ms: int = 0


@bind(_idl)
@final
@attrs.define
class OverdueStart:
    """Record that an order for a run has long been out without an answer."""

    task: str = ''
    run: int = 0


@bind(_idl)
@final
@attrs.define
class MoveLimit:
    """Move the time after which no order for a run leaves its agent."""

    task: str = ''
    run: int = 0
    order_limit_ms: int = 0


@bind(_idl)
@final
@attrs.define
class GiveUp:
    """Give up a task under which workers have crashed; its job fails."""

    task: str = ''
    reason: str = ''


@bind(_idl)
@final
@attrs.define
class Queue:
    """Queue to which callers submit jobs; its terms name the service."""

    name: str = ''
    host: str = ''
    prefix: str = ''
    timeout_ms: int = 0
    terms: Terms = attrs.field(factory=Terms)


@bind(_idl)
@final
@attrs.define
class Routing:
    """Version of all queues, with the document that declares them."""

    version: int = 0
    queues: list[Queue] = attrs.field(factory=list)
    document: bytes = b''


@bind(_idl)
@final
@attrs.define
class DataCentreMark:
    """Take a data centre out of service, or bring it back."""

    data_centre: str = ''
    out: bool = False


@bind(_idl)
@final
@attrs.define
class PressureRecord:
    """Estimated pressure of a filling image on a lasting image.

    It tells how much tasks of the filling image raise the load of tasks of
    the lasting image; see ``wasabiturn/batch/placing/interference.py``.
    """

    lasting: str = ''
    filling: str = ''
    level: float = 0.0
    variance: float = 0.0


@bind(_idl)
@final
@attrs.define
class BatchChange:
    """Changes that are committed together and applied in this order."""

    routing: Routing | None = None
    marks: list[DataCentreMark] = attrs.field(factory=list)
    accepts: list[AcceptJob] = attrs.field(factory=list)
    cancels: list[str] = attrs.field(factory=list)
    ends: list[EndRun] = attrs.field(factory=list)
    starts: list[StartRun] = attrs.field(factory=list)
    forgets: list[str] = attrs.field(factory=list)
    pressures: list[PressureRecord] = attrs.field(factory=list)
    settled: list[SettledStart] = attrs.field(factory=list)
    give_ups: list[GiveUp] = attrs.field(factory=list)
    cleared: list[str] = attrs.field(factory=list)
    clock_ms: int = 0
    overdue: list[OverdueStart] = attrs.field(factory=list)
    limits: list[MoveLimit] = attrs.field(factory=list)
    keeps_limits: bool = False


@bind(_idl)
@final
@attrs.define
class TaskRecord:
    """Task in a snapshot that has changed since its job created it."""

    name: str = ''
    state: BatchTaskState = attrs.field(
        default=BatchTaskState.waiting, converter=BatchTaskState
    )
    run: int = 0
    worker: str = ''
    born_ms: int = 0
    failures: int = 0
    checkpoint: str = ''
    agent: str = ''
    is_bound: bool = False
    is_settled: bool = False
    is_completed: bool = False
    failed_run: int = 0
    crashes: int = 0
    is_suspect: bool = False
    late_crashes: int = 0
    worked_ms: int = 0
    bound_until_ms: int = 0
    orders_end_ms: int = 0
    crash_agents: list[str] = attrs.field(factory=list)
    has_overdue_order: bool = False
    order_limit_ms: int = 0


@bind(_idl)
@final
@attrs.define
class JobRecord:
    """Job in a snapshot."""

    accepted: AcceptJob = attrs.field(factory=AcceptJob)
    state: JobState = attrs.field(default=JobState.queued, converter=JobState)
    tasks: list[TaskRecord] = attrs.field(factory=list)
    ended_ms: int = 0
    idle_since_ms: int | None = None


@bind(_idl)
@final
@attrs.define
class BatchDump:
    """Jobs, queues and data centres in a snapshot."""

    routing: Routing | None = None
    out_data_centres: list[str] = attrs.field(factory=list)
    jobs: list[JobRecord] = attrs.field(factory=list)
    pressures: list[PressureRecord] = attrs.field(factory=list)
    clock_ms: int = 0


@bind(_idl)
@final
@attrs.define
class JobCall:
    """Request of a caller to a queue."""

    action: JobAction = attrs.field(default=JobAction.read, converter=JobAction)
    host: str = ''
    path: str = ''
    request_id: str = ''
    declaration: JobDeclaration | None = None


@bind(_idl)
@final
@attrs.define
class JobAnswer:
    """Answer of the leader to a request of a caller."""

    outcome: JobOutcome = attrs.field(
        default=JobOutcome.ok, converter=JobOutcome
    )
    state: JobState = attrs.field(default=JobState.queued, converter=JobState)
    pending: int = 0
    retry_after_ms: int = 0


@bind(_idl)
@final
@attrs.define
class PutRouting:
    """Apply one version of the queues."""

    routing: Routing = attrs.field(factory=Routing)


@bind(_idl)
@final
@attrs.define
class RoutingAnswer:
    """Newest version of the queues, if there is one."""

    routing: Routing | None = None


@bind(_idl)
@final
@attrs.define
class MemberList:
    """Names of the members of the control group."""

    names: list[str] = attrs.field(factory=list)


@bind(_idl)
@final
@attrs.define
class ClientLimits:
    """Limits on callers; 0 means that the configuration sets none."""

    max_head_bytes: int = 0
    max_body_bytes: int = 0
    head_timeout_ms: int = 0
    idle_timeout_ms: int = 0


@bind(_idl)
@final
@attrs.define
class LeaderStatus:
    """Status of the leader that an entry needs before it becomes ready.

    ``client_limits`` are those of the committed configuration.
    """

    is_configured: bool = False
    client_limits: ClientLimits | None = None


@bind(_idl)
@final
@attrs.define
class RunningRow:
    """Run that a worker lists as running."""

    task: str = ''
    run: int = 0
    checkpoint: str = ''
    percent: int = 0
    figure: float = 0.0


@bind(_idl)
@final
@attrs.define
class EndedRow:
    """Run that a worker lists as ended."""

    number: int = 0
    task: str = ''
    run: int = 0
    ending: RunEnding = attrs.field(default=RunEnding.lost, converter=RunEnding)
    checkpoint: str = ''


@bind(_idl)
@final
@attrs.define
class StartResult:
    """Result of a start that the leader ordered."""

    task: str = ''
    run: int = 0
    result: StartOutcome = attrs.field(
        default=StartOutcome.pending, converter=StartOutcome
    )
    reason: str = ''
    has_unanswered_order: bool = False


@bind(_idl)
@final
@attrs.define
class OpenOrder:
    """Order to start a run that has no answer."""

    task: str = ''
    run: int = 0
    worker: str = ''
    age_ms: int = 0
    is_answered: bool = False


@bind(_idl)
@final
@attrs.define
class OpenOrders:
    """Orders without an answer that an agent process has sent."""

    known_ms: int = 0
    orders: list[OpenOrder] = attrs.field(factory=list)


@bind(_idl)
@final
@attrs.define
class WorkerReport:
    """State of a worker, as known to its agent."""

    worker: str = ''
    born_ms: int = 0
    service_name: str = ''
    data_centre: str = ''
    rack: str = ''
    labels: list[str] = attrs.field(factory=list)
    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    leaving: bool = False
    fence: int = 0
    listed: bool = False
    refuses: bool = False
    running: list[RunningRow] = attrs.field(factory=list)
    ended: list[EndedRow] = attrs.field(factory=list)
    results: list[StartResult] = attrs.field(factory=list)
    truncated: bool = False
    open_orders: OpenOrders | None = None
    sequence: int = 0
    sends_receipts: bool = False
    agent_clock_ms: int = 0
    followed_fence: int = 0
    is_unresponsive: bool = False


@bind(_idl)
@final
@attrs.define
class TokenRequest:
    """Request of an agent that knows no token which its worker accepts.

    It ``refuses_holds``: it is up, and its life is not known yet.
    """

    worker: str = ''
    needs_token: bool = False
    refuses_holds: bool = False


@bind(_idl)
@final
@attrs.define
class WorkerToken:
    """Token above all that a worker can have seen; 0 if none was needed."""

    fence: int = 0


@bind(_idl)
@final
@attrs.define
class StartOrder:
    """Start a run, limited to a percentage of its full speed."""

    task: str = ''
    run: int = 0
    payload: str = ''
    checkpoint: str = ''
    percent: int = 100
    reports_at_once: bool = False
    send_until_ms: int = 0


@bind(_idl)
@final
@attrs.define
class StopOrder:
    """Stop a run."""

    task: str = ''
    run: int = 0


@bind(_idl)
@final
@attrs.define
class PaceOrder:
    """Limit a run to a percentage of its full speed."""

    task: str = ''
    run: int = 0
    percent: int = 0


@bind(_idl)
@final
@attrs.define
class WorkerOrders:
    """All orders of the leader to one worker."""

    fence: int = 0
    acknowledged: int = 0
    lease_ms: int = 0
    starts: list[StartOrder] = attrs.field(factory=list)
    stops: list[StopOrder] = attrs.field(factory=list)
    paces: list[PaceOrder] = attrs.field(factory=list)
    worker: str = ''
    born_ms: int = 0
    number: int = 0
    is_service_unknown: bool = False
    offered: int = 0


@bind(_idl)
@final
@attrs.define
class OrderReceipt:
    """Answer to orders with offered starts: the newest that an agent has."""

    worker: str = ''
    born_ms: int = 0
    fence: int = 0
    number: int = 0
