"""Requests and tasks suspected of crashing the servers they ran on.

After a crash, everything that ran on the server is a suspect. A later crash
tells more: of what ran there, the suspect with the most earlier crashes is the
likely cause.
"""

from collections.abc import Mapping
from typing import TypeVar

from wasabiturn.messages.kinds import CrashSuspicion

# Crashes after which a suspect is given up, if it was the only one of the
# newest crash.
MAX_CRASHES_OF_ONLY_SUSPECT = 2
# Crashes after which a suspect is given up in any case.
MAX_CRASHES = 3

SuspectName = TypeVar('SuspectName')


def assess_suspicion(
    suspect: SuspectName,
    crashes_by_suspect: Mapping[SuspectName, int],
) -> CrashSuspicion:
    """Return the suspicion of ``suspect`` after a crash.

    ``crashes_by_suspect`` has the earlier crashes under each request or task
    that ran on the server, ``suspect`` included.
    """
    most = max(crashes_by_suspect.values())
    likely = [
        each for each, crashes in crashes_by_suspect.items() if crashes == most
    ]
    if likely == [suspect]:
        return CrashSuspicion.only
    return CrashSuspicion.shared


def may_run_again(crashes: int, newest: CrashSuspicion) -> bool:
    """Return whether a request or task may be given to another server.

    ``crashes`` have happened under it; ``newest`` is its suspicion after the
    newest of them.
    """
    if crashes >= MAX_CRASHES:
        return False
    is_only = newest is CrashSuspicion.only
    return not (is_only and crashes >= MAX_CRASHES_OF_ONLY_SUSPECT)
