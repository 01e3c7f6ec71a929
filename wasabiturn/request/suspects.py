"""Requests that are suspected of crashing the backend servers they ran on.

After a crash, each request in flight at the backend server is a suspect. A
later crash tells more: of the requests that were in flight, the one with the
most earlier crashes is the likely cause.
"""

from collections.abc import Mapping

from wasabiturn.ids import Ticket
from wasabiturn.messages.kinds import CrashSuspicion

# Crashes under a request after which it is not sent on, if it was the only
# suspect of the newest one.
MAX_CRASHES_OF_ONLY_SUSPECT = 2
# Crashes under a request after which it is not sent on in any case.
MAX_CRASHES = 3


def assess_suspicion(
    ticket: Ticket,
    crashes_by_ticket: Mapping[Ticket, int],
) -> CrashSuspicion:
    """Return the suspicion of a request after a crash.

    ``crashes_by_ticket`` has the earlier crashes under each request that was
    in flight, ``ticket`` included.
    """
    most = max(crashes_by_ticket.values())
    suspects = [
        each for each, crashes in crashes_by_ticket.items() if crashes == most
    ]
    if suspects == [ticket]:
        return CrashSuspicion.only
    return CrashSuspicion.shared


def may_send_on(crashes: int, newest: CrashSuspicion) -> bool:
    """Return whether a request may be sent to another backend server.

    ``crashes`` have happened under it; ``newest`` is its suspicion after the
    newest of them.
    """
    if crashes >= MAX_CRASHES:
        return False
    is_only = newest is CrashSuspicion.only
    return not (is_only and crashes >= MAX_CRASHES_OF_ONLY_SUSPECT)
