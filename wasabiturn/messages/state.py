"""Resources, commands and outcomes of the replicated state machine.

Field numbers and units are in ``wire/state.thrift``.
"""

from typing import final

import attrs

from wasabiturn.messages.batch import BatchChange, BatchDump
from wasabiturn.messages.codec import bind
from wasabiturn.messages.idl import load_idl
from wasabiturn.messages.kinds import ClaimState, Kind, OutcomeCode, TaskState

_idl = load_idl('state.thrift')


@bind(_idl)
@final
@attrs.define
class Capacity:
    """CPU cores, memory in MB and accelerators."""

    cores: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0


@bind(_idl)
@final
@attrs.define
class ServiceSpec:
    """Declaration of a latency-critical service."""

    replicas: int = 0
    size: Capacity = attrs.field(factory=Capacity)
    slots: int = 0
    connections: int = 0
    target_p99_ms: float = 0.0
    task_kind: str = ''
    command: str = ''


@bind(_idl)
@final
@attrs.define
class JobSpec:
    """Declaration of a batch job; ``run_seconds`` is its declared run time."""

    tasks: int = 0
    size: Capacity = attrs.field(factory=Capacity)
    run_seconds: float = 0.0
    urgent: bool = False
    idempotent: bool = False
    max_failures: int = 0
    task_kind: str = ''
    command: str = ''
    cancelled: bool = False


@bind(_idl)
@final
@attrs.define
class DataCentreSpec:
    """Whether a data centre is out of service."""

    out: bool = False
    region: str = ''


@bind(_idl)
@final
@attrs.define
class ConfigurationSpec:
    """Settings that apply to all instances once accepted."""

    settings: dict[str, str] = attrs.field(factory=dict)


@bind(_idl)
@final
@attrs.define
class TeamSpec:
    """Quota and weight of a team."""

    quota: Capacity = attrs.field(factory=Capacity)
    weight: float = 0.0


@bind(_idl)
@final
@attrs.define
class TaskSpec:
    """One replica of a service or one task of a job."""

    owner_kind: Kind = attrs.field(default=Kind.none, converter=Kind)
    owner: str = ''
    number: int = 0
    state: TaskState = attrs.field(
        default=TaskState.waiting, converter=TaskState
    )
    attempt: int = 0
    worker: str = ''
    incarnation: str = ''
    checkpoint: str = ''
    evictions: int = 0
    failures: int = 0
    reason: str = ''
    size: Capacity = attrs.field(factory=Capacity)
    task_kind: str = ''
    idempotent: bool = False
    urgent: bool = False
    # Workers that crashed under the task, one for each crash.
    crashed_workers: list[str] = attrs.field(factory=list)


@bind(_idl)
@final
@attrs.define
class Resource:
    """Resource; only the spec field of its kind is set."""

    kind: Kind = attrs.field(default=Kind.none, converter=Kind)
    name: str = ''
    team: str = ''
    revision: int = 0
    created: int = 0
    service_spec: ServiceSpec | None = None
    job_spec: JobSpec | None = None
    data_centre_spec: DataCentreSpec | None = None
    configuration_spec: ConfigurationSpec | None = None
    team_spec: TeamSpec | None = None
    task_spec: TaskSpec | None = None


@bind(_idl)
@final
@attrs.define
class PutResource:
    """Create or replace a resource of the expected revision.

    Revision 0 expects that there is none; -1 accepts any.
    """

    resource: Resource = attrs.field(factory=Resource)
    expected_revision: int = 0
    actor_team: str = ''


@bind(_idl)
@final
@attrs.define
class DeleteResource:
    """Remove a resource; an expected revision of -1 accepts any."""

    kind: int = 0
    name: str = ''
    expected_revision: int = 0
    actor_team: str = ''


@bind(_idl)
@final
@attrs.define
class TaskTransition:
    """Change of a task, applied only if attempt and state are as expected."""

    task: str = ''
    expected_attempt: int = 0
    expected_state: int = 0
    task_spec: TaskSpec = attrs.field(factory=TaskSpec)


@bind(_idl)
@final
@attrs.define
class UpdateTasks:
    """Task transitions that the scheduler of the leader proposes."""

    transitions: list[TaskTransition] = attrs.field(factory=list)
    surplus_services: list[str] = attrs.field(factory=list)


@bind(_idl)
@final
@attrs.define
class ClaimRequest:
    """Claim of a keyed non-idempotent request for one agent."""

    service_name: str = ''
    key: str = ''
    agent: str = ''
    agent_incarnation: str = ''
    entry: str = ''
    claim_id: str = ''
    fingerprint: str = ''


@bind(_idl)
@final
@attrs.define
class ClaimRequests:
    """Claims committed together in one log entry."""

    claims: list[ClaimRequest] = attrs.field(factory=list)


@bind(_idl)
@final
@attrs.define
class Header:
    """One HTTP header."""

    name: str = ''
    value: str = ''


@bind(_idl)
@final
@attrs.define
class RecordAnswer:
    """Outcome of a claimed request."""

    service_name: str = ''
    key: str = ''
    claim_id: str = ''
    outcome: ClaimState = attrs.field(
        default=ClaimState.none, converter=ClaimState
    )
    status: int = 0
    headers: list[Header] = attrs.field(factory=list)
    body: bytes = b''
    body_omitted: bool = False


@bind(_idl)
@final
@attrs.define
class RecordAnswers:
    """Outcomes committed together in one log entry."""

    answers: list[RecordAnswer] = attrs.field(factory=list)


@bind(_idl)
@final
@attrs.define
class ClaimRecord:
    """Claim with its state and recorded answer."""

    claim: ClaimRequest = attrs.field(factory=ClaimRequest)
    state: ClaimState = attrs.field(
        default=ClaimState.none, converter=ClaimState
    )
    status: int = 0
    headers: list[Header] = attrs.field(factory=list)
    body: bytes = b''
    body_omitted: bool = False
    revision: int = 0


@bind(_idl)
@final
@attrs.define
class ExpireClaims:
    """Remove settled claims older than a revision."""

    before_revision: int = 0


@bind(_idl)
@final
@attrs.define
class Command:
    """Command in the replicated log; exactly one optional field is set."""

    request_id: str = ''
    put: PutResource | None = None
    remove: DeleteResource | None = None
    update_tasks: UpdateTasks | None = None
    claim: ClaimRequests | None = None
    record: RecordAnswers | None = None
    expire: ExpireClaims | None = None
    batch: BatchChange | None = None


@bind(_idl)
@final
@attrs.define
class Outcome:
    """Result of a command, the same on each replica."""

    code: OutcomeCode = attrs.field(
        default=OutcomeCode.ok, converter=OutcomeCode
    )
    text: str = ''
    field: str = ''
    revision: int = 0
    resource: Resource | None = None
    claims: list[ClaimRecord] = attrs.field(factory=list)
    codes: list[int] = attrs.field(factory=list)


@bind(_idl)
@final
@attrs.define
class Change:
    """Change of one resource, as sent to watches."""

    revision: int = 0
    removed: bool = False
    resource: Resource = attrs.field(factory=Resource)


@bind(_idl)
@final
@attrs.define
class RememberedOutcome:
    """Outcome of the first command with a request id."""

    request_id: str = ''
    digest: int = 0
    outcome: Outcome = attrs.field(factory=Outcome)


@bind(_idl)
@final
@attrs.define
class StateDump:
    """Complete state, as stored in a snapshot."""

    format: int = 0
    revision: int = 0
    claims_revision: int = 0
    resources: list[Resource] = attrs.field(factory=list)
    claims: list[ClaimRecord] = attrs.field(factory=list)
    outcomes: list[RememberedOutcome] = attrs.field(factory=list)
    history: list[Change] = attrs.field(factory=list)
    batch: BatchDump | None = None
