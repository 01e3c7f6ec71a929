"""Clock of the loop, which no change of the wall clock moves."""

import time
from typing import Any


def boot_seconds() -> float:
    """Return seconds since boot, those of a suspended instance included.

    Leases are counted with it: a wall clock may step, and the monotonic clock
    stands still while an instance is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def use_boot_clock(reactor: Any) -> None:
    """Make ``reactor`` tell time and run its timers by ``boot_seconds``.

    Twisted's reactors read the wall clock by default.
    """
    reactor.seconds = boot_seconds
