"""Exit codes of the commands that call the API."""

import enum
from typing import final


@final
class ExitCode(enum.IntEnum):
    """Exit status of a command.

    ``not_run`` means that a write certainly did not run or that a read failed;
    ``unknown``, that a write may have run or the command was interrupted.
    """

    done = 0
    refused = 1
    usage = 2
    not_run = 3
    unknown = 4
