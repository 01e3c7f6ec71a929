"""Assembly of the control program from its parts."""

from typing import final

import attrs
from twisted.internet.defer import Deferred, succeed

from wasabiturn.process.daemon import Context


@final
@attrs.define
class ControlProgram:
    """The control program of one process."""

    context: Context

    def start(self) -> None:
        """Open ports and begin to work."""

    def drain(self) -> Deferred[None]:
        """Stop gracefully."""
        return succeed(None)

    def close(self) -> None:
        """Release ports and files."""


def create_control(context: Context) -> ControlProgram:
    """Create the control program from the settings of ``context``."""
    return ControlProgram(context=context)
