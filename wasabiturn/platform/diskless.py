"""Control program on an instance without a disk.

The platform runs the control program on every entry instance. Without a disk
it can keep no log, so it joins no group and only waits to be stopped; the entry
on the same instance passes the calls of operators to the leader.
"""

import signal
import sys
import time
from typing import Any, NoReturn

_SLEEP_SECONDS = 3600.0


def wait_for_stop() -> NoReturn:
    """Wait until SIGTERM or SIGINT, then exit with status 0."""
    signal.signal(signal.SIGTERM, _exit)
    signal.signal(signal.SIGINT, _exit)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.stdout.write('wasabiturn: no data folder, so no control member runs\n')
    sys.stdout.flush()
    while signal.getsignal(signal.SIGTERM) is _exit:
        time.sleep(_SLEEP_SECONDS)
    sys.exit(0)


def _exit(number: int, frame: Any) -> NoReturn:
    sys.exit(0)
