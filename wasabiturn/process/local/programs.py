"""Programs and settings of a local deployment."""

from pathlib import Path
from typing import final

import attrs

from wasabiturn.conf.sections import (
    AgentSection,
    ControlSection,
    EntrySection,
    InstanceSection,
    LoggingSection,
    MetricsSection,
    Settings,
)
from wasabiturn.conf.values import Member
from wasabiturn.connection.endpoint import Endpoint
from wasabiturn.process.agent.program import create_agent
from wasabiturn.process.control.program import create_control
from wasabiturn.process.daemon import Component, ComponentFactory, Context
from wasabiturn.process.entry.program import create_entry
from wasabiturn.process.local.standins import (
    BackendComponent,
    WorkerComponent,
)

LOOPBACK = '127.0.0.1'
SERVICE_NAME = 'taller-app'


@final
@attrs.frozen
class LocalPorts:
    """Ports of a local deployment, numbered from ``first``."""

    first: int

    @property
    def caller(self) -> Endpoint:
        """Return the endpoint for requests of callers."""
        return self._at(0)

    @property
    def entry_api(self) -> Endpoint:
        """Return the endpoint of the operators' API on the entry."""
        return self._at(1)

    @property
    def control(self) -> Endpoint:
        """Return the endpoint of control for the other programs."""
        return self._at(2)

    @property
    def control_api(self) -> Endpoint:
        """Return the endpoint of the operators' API on control."""
        return self._at(3)

    @property
    def agent(self) -> Endpoint:
        """Return the endpoint of the agent for entries."""
        return self._at(4)

    @property
    def announce(self) -> Endpoint:
        """Return the endpoint for announcements of backend servers."""
        return self._at(5)

    @property
    def backend(self) -> Endpoint:
        """Return the endpoint of the stand-in backend server."""
        return self._at(6)

    @property
    def worker(self) -> Endpoint:
        """Return the endpoint of the stand-in worker."""
        return self._at(7)

    def _at(self, offset: int) -> Endpoint:
        return Endpoint(host=LOOPBACK, port=self.first + offset)


def create_settings(folder: Path, ports: LocalPorts) -> Settings:
    """Create the settings that all programs of the deployment share."""
    return Settings(
        source=folder / 'local',
        instance=InstanceSection(name='local', data_centre='dc-local'),
        metrics=MetricsSection(),
        logging=LoggingSection(file=folder / 'local.log'),
        control=ControlSection(
            listen=ports.control,
            api_listen=ports.control_api,
            members=(Member(name='local', endpoint=ports.control),),
            data_folder=folder / 'control',
        ),
        entry=EntrySection(
            listen=ports.caller,
            api_listen=ports.entry_api,
            control=(ports.control,),
            drain_seconds=0,
        ),
        agent=AgentSection(
            listen=ports.agent,
            announce_listen=ports.announce,
            control=(ports.control,),
            worker_url=f'http://{ports.worker}',
        ),
    )


def create_programs(ports: LocalPorts) -> list[ComponentFactory]:
    """Return the factories of the programs in the order in which they start."""

    def create_worker(context: Context) -> Component:
        return WorkerComponent(context=context, endpoint=ports.worker)

    def create_backend(context: Context) -> Component:
        return BackendComponent(
            context=context,
            endpoint=ports.backend,
            announce=ports.announce,
            service_name=SERVICE_NAME,
        )

    return [
        create_control,
        create_worker,
        create_agent,
        create_backend,
        create_entry,
    ]
