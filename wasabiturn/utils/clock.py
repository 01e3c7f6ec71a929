"""Clock for the reactor that is independent of the wall clock."""

import time
from typing import Any


def boot_seconds() -> float:
    """Return seconds since boot, including time in suspension.

    Leases are measured with it, since the wall clock may step and the
    monotonic clock stops while an instance is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def use_boot_clock(reactor: Any) -> None:
    """Make ``reactor`` use ``boot_seconds`` for its clock and timers.

    Twisted's reactors read the wall clock by default.
    """
    reactor.seconds = boot_seconds
