"""How much room jobs may take in the replicated state.

Every member holds the state, so the smallest one's memory and disk decide. The
decisions are pure.
"""

from collections.abc import Iterable

from wasabiturn.batch.state.batch_state import BatchState
from wasabiturn.messages.footprint import ENDED_JOB, Footprint
from wasabiturn.messages.link import StateBudget

# A member without jobs, and the garbage of one with many.
PROGRAM_BYTES = 64_000_000
# Share of the memory that accepted connections may hold; see
# ``connection/client_guard.py``.
CONNECTIONS_DIVISOR = 4
# Entries in memory, in periods of the log: those since the last snapshot, which
# members take at different times, and those kept for members that lag.
LOG_PERIODS = 1.6
# What may wait for two members that answer slowly; see
# ``version/raft/replication.py``.
LINKS_BYTES = 16_000_000
# A leader has the state and its working copy; a member that installs a snapshot
# the old and the new state.
STATE_COPIES = 2
# The newest snapshot, and a second one that is sent, received, encoded or
# decoded, with the buffer for that.
SNAPSHOT_COPIES = 4
# On the disk: two snapshots, and the reserve of the size of two.
STORED_SNAPSHOTS = 4
# Part of the disk for a last record of the log and what the sizes of files
# don't tell.
DISK_SLACK_DIVISOR = 16
# However small an instance is, some jobs are accepted.
MIN_DIVISOR = 32
# Part of the room for ended jobs that nobody needs any more.
ENDED_DIVISOR = 8
_BYTES_PER_MB = 1_000_000


def create_state_budget(
    memory_mb: int, disk_bytes: int, log_bytes: int
) -> StateBudget:
    """Return the room in a member; its log has ``log_bytes`` in each period."""
    memory_bytes = memory_mb * _BYTES_PER_MB
    kept_log_bytes = int(log_bytes * LOG_PERIODS)
    spared_bytes = memory_bytes // CONNECTIONS_DIVISOR + kept_log_bytes
    free_bytes = memory_bytes - PROGRAM_BYTES - spared_bytes - LINKS_BYTES
    slack_bytes = disk_bytes // DISK_SLACK_DIVISOR
    free_disk_bytes = disk_bytes - kept_log_bytes - slack_bytes
    return StateBudget(
        memory_bytes=max(free_bytes, memory_bytes // MIN_DIVISOR),
        stored_bytes=max(
            free_disk_bytes // STORED_SNAPSHOTS, disk_bytes // MIN_DIVISOR
        ),
    )


def find_smallest(budgets: Iterable[StateBudget]) -> StateBudget | None:
    """Return what fits in each of the members, or none if none is known."""
    known = list(budgets)
    if not known:
        return None
    return StateBudget(
        memory_bytes=min(budget.memory_bytes for budget in known),
        stored_bytes=min(budget.stored_bytes for budget in known),
    )


def has_room(
    batch_state: BatchState,
    budget: StateBudget,
    queue: str,
    job: Footprint,
) -> bool:
    """Return whether a job of ``queue`` fits beside what is stored.

    A queue gets no more than what it leaves free for all others. One that asks
    for everything therefore gets a half, several of them an equal share each,
    and another one that asks later still finds room.
    """
    room = Footprint(budget.memory_bytes, budget.stored_bytes)
    used = _convert(batch_state.usage.total + _measure_routing(batch_state))
    added = _convert(job)
    of_queue = _convert(batch_state.usage.of_queue(queue))
    return (of_queue + added).fits(room - used - added)


def count_kept_jobs(budget: StateBudget) -> int:
    """Return how many ended jobs are kept beyond the promised time."""
    return (
        budget.memory_bytes // ENDED_DIVISOR // _convert(ENDED_JOB).memory_bytes
    )


def _measure_routing(batch_state: BatchState) -> Footprint:
    routing = batch_state.routing
    size = 0 if routing is None else len(routing.document)
    return Footprint(size, size)


def _convert(footprint: Footprint) -> Footprint:
    """Return what jobs take of a budget, with all copies of them."""
    copies_bytes = footprint.memory_bytes * STATE_COPIES
    snapshots_bytes = footprint.stored_bytes * SNAPSHOT_COPIES
    return Footprint(copies_bytes + snapshots_bytes, footprint.stored_bytes)
