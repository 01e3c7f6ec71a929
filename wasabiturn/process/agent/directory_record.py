"""The record with which an agent announces itself to control."""

from typing import final

import attrs

from wasabiturn.conf.sections import Settings
from wasabiturn.ids import IncarnationId
from wasabiturn.messages.session import AgentRecord
from wasabiturn.process.agent.backends import Backends


@final
@attrs.define
class RecordBuilder:
    """Builds the agent's record, each time with a higher sequence number."""

    settings: Settings
    incarnation: IncarnationId
    backends: Backends
    leaving: bool = False
    _sequence: int = 0

    def build(self) -> AgentRecord:
        """Return the present record."""
        self._sequence += 1
        instance = self.settings.instance
        agent = self.settings.agent
        address = '' if agent is None else str(agent.advertise or agent.listen)
        return AgentRecord(
            name=instance.name,
            incarnation=self.incarnation,
            data_centre=instance.data_centre,
            rack=instance.rack,
            region=instance.region,
            address=address,
            backends=self.backends.records(),
            leaving=self.leaving,
            sequence=self._sequence,
        )
