"""Arithmetic of processors, memory and accelerators."""

from wasabiturn.messages.state import Capacity

NOTHING = Capacity()

# Rounding errors of repeated sums of cores.
CORES_TOLERANCE = 1e-6


def add(left: Capacity, right: Capacity) -> Capacity:
    """Return the sum of two capacities."""
    return Capacity(
        left.cores + right.cores,
        left.memory_mb + right.memory_mb,
        left.accelerators + right.accelerators,
    )


def subtract(left: Capacity, right: Capacity) -> Capacity:
    """Return ``left`` less ``right``; amounts may become negative."""
    return Capacity(
        left.cores - right.cores,
        left.memory_mb - right.memory_mb,
        left.accelerators - right.accelerators,
    )


def enlarge(left: Capacity, right: Capacity) -> Capacity:
    """Return the larger amount of each."""
    return Capacity(
        max(left.cores, right.cores),
        max(left.memory_mb, right.memory_mb),
        max(left.accelerators, right.accelerators),
    )


def fits(size: Capacity, free: Capacity) -> bool:
    """Tell whether ``size`` is within ``free`` in every amount."""
    return (
        size.cores <= free.cores + CORES_TOLERANCE
        and size.memory_mb <= free.memory_mb
        and size.accelerators <= free.accelerators
    )


def dominant_share(used: Capacity, total: Capacity) -> float:
    """Return the largest share of ``total`` that ``used`` takes."""
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
