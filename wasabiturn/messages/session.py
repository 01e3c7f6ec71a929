"""Messages between entries, agents and control.

Field numbers and units are in ``wire/session.thrift``.
"""

from typing import final

import attrs

from wasabiturn.messages.codec import bind
from wasabiturn.messages.idl import load_idl
from wasabiturn.messages.kinds import (
    AgentClaimState,
    AttemptState,
    CrashSuspicion,
    OrderAction,
    Verdict,
)
from wasabiturn.messages.state import (
    Capacity,
    Change,
    ClaimRecord,
    Command,
    Header,
    TaskSpec,
)

_idl = load_idl('session.thrift')


@bind(_idl)
@final
@attrs.define
class BackendRecord:
    """Backend server that has been announced to an agent."""

    service_name: str = ''
    slots: int = 0
    connections: int = 0
    leaving: bool = False
    address: str = ''
    incarnation: str = ''


@bind(_idl)
@final
@attrs.define
class AgentRecord:
    """Record of one agent in the directory."""

    name: str = ''
    incarnation: str = ''
    data_centre: str = ''
    rack: str = ''
    region: str = ''
    address: str = ''
    backends: list[BackendRecord] = attrs.field(factory=list)
    leaving: bool = False
    sequence: int = 0


@bind(_idl)
@final
@attrs.define
class Announce:
    """Directory record that an agent sends to control."""

    record: AgentRecord = attrs.field(factory=AgentRecord)


@bind(_idl)
@final
@attrs.define
class Subscribe:
    """Ask for the changes since a revision; -1 asks for a snapshot first."""

    since: int = 0
    kinds: list[int] = attrs.field(factory=list)
    directory: bool = False


@bind(_idl)
@final
@attrs.define
class Subscribed:
    """Revision at which a subscription began."""

    revision: int = 0


@bind(_idl)
@final
@attrs.define
class Changes:
    """Changes for a subscriber; a snapshot replaces its previous view."""

    snapshot: bool = False
    complete: bool = False
    revision: int = 0
    changes: list[Change] = attrs.field(factory=list)


@bind(_idl)
@final
@attrs.define
class DirectoryChanges:
    """Changes to the directory of agents."""

    snapshot: bool = False
    agents: list[AgentRecord] = attrs.field(factory=list)
    gone: list[str] = attrs.field(factory=list)


@bind(_idl)
@final
@attrs.define
class Fresh:
    """Revision that a quorum confirmed within the freshness period."""

    revision: int = 0


@bind(_idl)
@final
@attrs.define
class Submit:
    """Command for the leader."""

    command: Command = attrs.field(factory=Command)


@bind(_idl)
@final
@attrs.define
class LookUpClaim:
    """Ask for the record of a claim."""

    service_name: str = ''
    key: str = ''


@bind(_idl)
@final
@attrs.define
class ClaimLookup:
    """Record of a claim, if there is one."""

    record: ClaimRecord | None = None


@bind(_idl)
@final
@attrs.define
class AttemptReport:
    """State of an attempt that an agent holds or remembers."""

    task: str = ''
    attempt: int = 0
    state: AttemptState = attrs.field(
        default=AttemptState.unknown, converter=AttemptState
    )
    checkpoint: str = ''
    reason: str = ''
    run_seconds: float = 0.0
    crash: CrashSuspicion = attrs.field(
        default=CrashSuspicion.none, converter=CrashSuspicion
    )


@bind(_idl)
@final
@attrs.define
class UsageReport:
    """Resource usage of a task, sampled ``lag_seconds`` ago.

    ``progress`` is the share of full speed; 1.0 is full speed.
    """

    task: str = ''
    used: Capacity = attrs.field(factory=Capacity)
    lag_seconds: float = 0.0
    progress: float = 0.0


@bind(_idl)
@final
@attrs.define
class ServiceReport:
    """Response times and load of a local backend server."""

    service_name: str = ''
    p99_ms: float = 0.0
    load: float = 0.0
    answered: int = 0


@bind(_idl)
@final
@attrs.define
class Heartbeat:
    """Heartbeat of an agent to the control leader."""

    agent: str = ''
    incarnation: str = ''
    sequence: int = 0
    data_centre: str = ''
    rack: str = ''
    capacity: Capacity = attrs.field(factory=Capacity)
    attempts: list[AttemptReport] = attrs.field(factory=list)
    usage: list[UsageReport] = attrs.field(factory=list)
    services: list[ServiceReport] = attrs.field(factory=list)
    leaving: bool = False
    reconciled: bool = False


@bind(_idl)
@final
@attrs.define
class Order:
    """Order of control about one attempt."""

    task: str = ''
    attempt: int = 0
    action: OrderAction = attrs.field(
        default=OrderAction.hold, converter=OrderAction
    )
    spec: TaskSpec | None = None
    command: str = ''
    throttle: float = 0.0
    run_seconds: float = 0.0


@bind(_idl)
@final
@attrs.define
class Orders:
    """Orders for all attempts of an agent; it stops any other attempt."""

    sequence: int = 0
    revision: int = 0
    may_start: bool = False
    orders: list[Order] = attrs.field(factory=list)
    permit_seconds: float = 0.0
    lease_seconds: float = 0.0
    serial: int = 0


@bind(_idl)
@final
@attrs.define
class RequestHead:
    """Head of one HTTP request, sent from entry to agent."""

    request_id: str = ''
    attempt: int = 0
    service_name: str = ''
    method: str = ''
    path: str = ''
    headers: list[Header] = attrs.field(factory=list)
    timeout_ms: float = 0.0
    idempotent: bool = False
    claim_id: str = ''
    claim_key: str = ''
    caller: str = ''
    crashes: int = 0


@bind(_idl)
@final
@attrs.define
class LoadReport:
    """Load of one backend server."""

    service_name: str = ''
    running: int = 0
    waiting: int = 0
    slots: int = 0
    mean_service_ms: float = 0.0
    p95_ms: float = 0.0


@bind(_idl)
@final
@attrs.define
class ResponseHead:
    """First message of an agent on a stream."""

    verdict: Verdict = attrs.field(default=Verdict.answered, converter=Verdict)
    status: int = 0
    headers: list[Header] = attrs.field(factory=list)
    retry_after_ms: float = 0.0
    reason: str = ''
    load: LoadReport = attrs.field(factory=LoadReport)
    crash: CrashSuspicion = attrs.field(
        default=CrashSuspicion.none, converter=CrashSuspicion
    )


@bind(_idl)
@final
@attrs.define
class RefuseClaim:
    """Ask an agent to refuse a claim that it has not seen."""

    claim_id: str = ''
    agent_incarnation: str = ''


@bind(_idl)
@final
@attrs.define
class ClaimVerdict:
    """State of a claim, as reported by the agent that it names."""

    state: AgentClaimState = attrs.field(
        default=AgentClaimState.unknown, converter=AgentClaimState
    )


@bind(_idl)
@final
@attrs.define
class ApiRequest:
    """Operator's HTTP request, relayed to the leader."""

    method: str = ''
    path: str = ''
    request_id: str = ''
    if_match: str = ''
    authorization: str = attrs.field(default='', repr=False)
    body: bytes = b''
    after: str = ''


@bind(_idl)
@final
@attrs.define
class ApiResponse:
    """Answer to an operator's request."""

    status: int = 0
    headers: list[Header] = attrs.field(factory=list)
    body: bytes = b''


@bind(_idl)
@final
@attrs.define
class WatchRequest:
    """Ask for a stream of changes as newline-delimited JSON."""

    kind: int = 0
    since: int = 0
    authorization: str = attrs.field(default='', repr=False)
