"""Expected ends and costs of running attempts."""

from wasabiturn.messages.kinds import Kind
from wasabiturn.messages.state import TaskSpec
from wasabiturn.version.placement.table import PlacementTable

NEVER_ENDS = float('inf')
# A task beyond its expected run time is expected to need this share more.
OVERRUN_SHARE = 0.25
MIN_LEFT_SECONDS = 1.0
# Cost of an eviction beside the lost work, in core seconds.
EVICTION_COST = 10.0
NON_IDEMPOTENT_COST = 1000.0
CORES_AT_LEAST = 0.1


def expected_seconds(table: PlacementTable, spec: TaskSpec) -> float:
    """Return the declared run time of a task, in seconds."""
    owner = table.owner_of(spec)
    if spec.owner_kind is Kind.service:
        return NEVER_ENDS
    if owner is None or owner.job_spec is None:
        return MIN_LEFT_SECONDS
    return owner.job_spec.run_seconds


def expected_end(
    table: PlacementTable,
    task: str,
    spec: TaskSpec,
    now: float,
) -> float:
    """Return when a held task is expected to end, in loop seconds."""
    total = expected_seconds(table, spec)
    progress = table.learned.progress_by_task.get(task)
    if progress is None:
        return now + total
    ran = progress.run_seconds + now - progress.reported_at
    return now + max(total - ran, ran * OVERRUN_SHARE, MIN_LEFT_SECONDS)


def eviction_cost(table: PlacementTable, task: str, spec: TaskSpec) -> float:
    """Return what it costs to evict a batch task, in core seconds."""
    cores = max(spec.size.cores, CORES_AT_LEAST)
    cost = EVICTION_COST * cores * (1 + spec.evictions)
    if spec.idempotent:
        return cost
    return cost + NON_IDEMPOTENT_COST
