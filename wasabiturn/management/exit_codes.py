"""Exit codes of the commands that speak to the API."""

import enum
from typing import final


@final
class ExitCode(enum.IntEnum):
    """What a script learns from the exit status."""

    done = 0
    refused = 1
    usage = 2
    not_run = 3
    unknown = 4
