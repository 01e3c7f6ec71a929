"""Arithmetic on amounts of cores, memory and accelerators."""

from wasabiturn.messages.state import Capacity

ZERO_CAPACITY = Capacity()

# Absorbs the rounding errors that repeated sums of cores accumulate.
CORES_TOLERANCE = 1e-6


def add(left: Capacity, right: Capacity) -> Capacity:
    """Return the sum of two capacities."""
    return Capacity(
        left.cores + right.cores,
        left.memory_mb + right.memory_mb,
        left.accelerators + right.accelerators,
    )


def subtract(left: Capacity, right: Capacity) -> Capacity:
    """Return ``left`` minus ``right``; amounts may become negative."""
    return Capacity(
        left.cores - right.cores,
        left.memory_mb - right.memory_mb,
        left.accelerators - right.accelerators,
    )


def elementwise_max(left: Capacity, right: Capacity) -> Capacity:
    """Return the larger of the two amounts of each resource."""
    return Capacity(
        max(left.cores, right.cores),
        max(left.memory_mb, right.memory_mb),
        max(left.accelerators, right.accelerators),
    )


def fits(size: Capacity, free: Capacity) -> bool:
    """Return whether ``free`` has enough of every resource for ``size``."""
    return (
        size.cores <= free.cores + CORES_TOLERANCE
        and size.memory_mb <= free.memory_mb
        and size.accelerators <= free.accelerators
    )


def dominant_share(used: Capacity, total: Capacity) -> float:
    """Return the largest share of any resource of ``total`` in use."""
    return max(
        _share(used.cores, total.cores),
        _share(used.memory_mb, total.memory_mb),
        _share(used.accelerators, total.accelerators),
    )


def _share(used: float, total: float) -> float:
    if used <= 0:
        return 0
    if total <= 0:
        return float('inf')
    return used / total
