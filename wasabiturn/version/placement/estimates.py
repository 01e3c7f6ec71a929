"""Estimates of when attempts end and of what their eviction costs."""

from wasabiturn.messages.kinds import Kind
from wasabiturn.messages.state import TaskSpec
from wasabiturn.version.placement.table import PlacementTable

NEVER_ENDS = float('inf')
# The remaining run time is estimated as at least this share of the time already
# run, so that tasks past their expected run time are not assumed to end now.
OVERRUN_SHARE = 0.25
MIN_REMAINING_SECONDS = 1.0
# Cost of an eviction for each core of the task, in addition to the lost work,
# in core seconds.
EVICTION_COST = 10.0
NON_IDEMPOTENT_COST = 1000.0
MIN_CHARGED_CORES = 0.1


def expected_seconds(table: PlacementTable, spec: TaskSpec) -> float:
    """Return the declared run time of a task, in seconds."""
    owner = table.owner_of(spec)
    if spec.owner_kind is Kind.service:
        return NEVER_ENDS
    if owner is None or owner.job_spec is None:
        return MIN_REMAINING_SECONDS
    return owner.job_spec.run_seconds


def expected_end(
    table: PlacementTable,
    task: str,
    spec: TaskSpec,
    now: float,
) -> float:
    """Return when a placed task is expected to end, in event loop seconds."""
    total = expected_seconds(table, spec)
    progress = table.learned.progress_by_task.get(task)
    if progress is None:
        return now + total
    ran = progress.run_seconds + now - progress.reported_at
    return now + max(total - ran, ran * OVERRUN_SHARE, MIN_REMAINING_SECONDS)


def eviction_cost(table: PlacementTable, task: str, spec: TaskSpec) -> float:
    """Return the cost of evicting a batch task, in core seconds."""
    cores = max(spec.size.cores, MIN_CHARGED_CORES)
    cost = EVICTION_COST * cores * (1 + spec.evictions)
    if spec.idempotent:
        return cost
    return cost + NON_IDEMPOTENT_COST
