"""Enumerations that messages carry as 32-bit integers."""

import enum
from typing import final


@final
class FrameKind(enum.IntEnum):
    """Type of a frame on a link; ``failure`` is the reply to a failed call."""

    hello = 1
    heartbeat = 2
    call = 3
    reply = 4
    failure = 5
    notice = 6
    open = 7
    data = 8
    end = 9
    reset = 10
    credit = 11


@final
class Role(enum.IntEnum):
    """Kind of process at one end of a link."""

    unknown = 0
    control = 1
    entry = 2
    agent = 3
    operator = 4


@final
class Method(enum.IntEnum):
    """Method of a call, notice or stream between processes."""

    none = 0
    announce = 1
    subscribe = 2
    changes = 3
    directory_changes = 4
    fresh = 5
    submit = 6
    claim = 7
    record_answer = 8
    look_up_claim = 9
    heartbeat = 10
    orders = 11
    serve = 12
    refuse_claim = 13
    read_barrier = 14
    consensus = 20
    status = 30
    api = 40
    watch = 41
    job = 50
    put_routing = 51
    read_routing = 52
    mark_data_centre = 53
    worker_report = 54
    worker_orders = 55
    members = 56
    leader_status = 57
    worker_token = 58


@final
class FailureCode(enum.IntEnum):
    """Why a call failed."""

    internal = 0
    not_leader = 1
    unavailable = 2
    unknown_method = 3
    invalid = 4
    timeout = 5
    outcome_unknown = 6
    closed = 7


@final
class Kind(enum.IntEnum):
    """Kinds of resources."""

    none = 0
    service = 1
    job = 2
    task = 3
    data_centre = 4
    configuration = 5
    team = 6
    worker = 7
    backend_server = 8


@final
class TaskState(enum.IntEnum):
    """State of a task; see docs/design/placement.md."""

    waiting = 0
    assigned = 1
    running = 2
    evicting = 3
    finished = 4
    failed = 5
    cancelled = 6
    outcome_unknown = 7
    impossible = 8
    stopping = 9


@final
class AttemptState(enum.IntEnum):
    """State of one attempt of a task, as known to its agent."""

    unknown = 0
    starting = 1
    running = 2
    finished = 3
    failed = 4
    stopped = 5
    refused = 6
    lost = 7


@final
class OrderAction(enum.IntEnum):
    """Action that control orders an agent to take on one attempt."""

    hold = 0
    start = 1
    evict = 2
    stop = 3
    adopt = 4


@final
class ClaimState(enum.IntEnum):
    """State of the claim of a keyed non-idempotent request."""

    none = 0
    claimed = 1
    answered = 2
    not_run = 3
    unknown = 4


@final
class AgentClaimState(enum.IntEnum):
    """State of a claim, as reported by the agent that it names."""

    refused = 0
    running = 1
    done = 2
    unknown = 3


@final
class OutcomeCode(enum.IntEnum):
    """Result of a command applied to the state machine."""

    ok = 0
    conflict = 1
    not_found = 2
    invalid = 3
    quota = 4
    forbidden = 5


@final
class Verdict(enum.IntEnum):
    """Whether an agent answered a request, did not run it or cannot tell."""

    answered = 0
    not_run = 1
    unknown = 2


@final
class CrashSuspicion(enum.IntEnum):
    """Whether a request or a task may have crashed the server it ran on.

    ``shared``: others that ran there are as likely to have done so;
    ``only``: it is the only suspect.
    """

    none = 0
    shared = 1
    only = 2


@final
class EntryKind(enum.IntEnum):
    """Type of an entry of the replicated log."""

    noop = 0
    command = 1
    membership = 2


@final
class JobState(enum.IntEnum):
    """State of a job as reported to callers; final from ``done`` on."""

    queued = 0
    running = 1
    done = 2
    failed = 3
    cancelled = 4


@final
class BatchTaskState(enum.IntEnum):
    """State of a task of a queued job.

    An ``active`` task has a run that may still be in progress.
    """

    waiting = 0
    active = 1
    done = 2
    dropped = 3


@final
class RunEnding(enum.IntEnum):
    """How a run ended.

    ``lost`` means that the incarnation or the lease of its worker ended.
    """

    lost = 0
    done = 1
    failed = 2
    stopped = 3
    lapsed = 4
    broken = 5
    alone = 6
    not_started = 7


@final
class CrashRole(enum.IntEnum):
    """What a crash of its worker tells of the task of a run.

    ``bystander`` counts the crash against the task, ``suspect`` also makes the
    task a suspect. ``possible`` makes it a suspect without counting the crash,
    as the run is not known to have begun.
    """

    none = 0
    bystander = 1
    suspect = 2
    possible = 3


@final
class JobAction(enum.IntEnum):
    """Request of a caller to a queue."""

    read = 0
    submit = 1
    cancel = 2
    count = 3


@final
class JobOutcome(enum.IntEnum):
    """Result of a caller's request, as answered by the leader."""

    ok = 0
    no_queue = 1
    no_job = 2
    busy = 3
    not_configured = 4
    invalid = 5


@final
class StartOutcome(enum.IntEnum):
    """State of a start that was ordered, as known to the agent."""

    pending = 0
    started = 1
    refused = 2
