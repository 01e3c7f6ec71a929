"""The programs of a local deployment, with settings made in place."""

from pathlib import Path
from typing import final

import attrs

from wasabiturn.conf import Settings
from wasabiturn.conf.sections import (
    AgentSection,
    ControlSection,
    EntrySection,
    InstanceSection,
    LoggingSection,
    MetricsSection,
)
from wasabiturn.conf.values import Member
from wasabiturn.connection.dialer import Endpoint
from wasabiturn.process.agent import create_agent
from wasabiturn.process.control import create_control
from wasabiturn.process.daemon import Context, Service, ServiceFactory
from wasabiturn.process.entry import create_entry
from wasabiturn.process.local.standins import (
    BackendService,
    WorkerService,
)

LOOPBACK = '127.0.0.1'
SERVICE = 'taller-app'


@final
@attrs.frozen
class LocalPorts:
    """Ports of a local deployment, numbered from ``first``."""

    first: int

    @property
    def caller(self) -> Endpoint:
        """Where callers send requests."""
        return self._at(0)

    @property
    def entry_api(self) -> Endpoint:
        """Where operators reach the API through the entry."""
        return self._at(1)

    @property
    def control(self) -> Endpoint:
        """Where the programs reach control."""
        return self._at(2)

    @property
    def control_api(self) -> Endpoint:
        """Where operators reach the API of control."""
        return self._at(3)

    @property
    def agent(self) -> Endpoint:
        """Where entries reach the agent."""
        return self._at(4)

    @property
    def announce(self) -> Endpoint:
        """Where the backend server announces itself."""
        return self._at(5)

    @property
    def backend(self) -> Endpoint:
        """Where the stand-in backend server listens."""
        return self._at(6)

    @property
    def worker(self) -> Endpoint:
        """Where the stand-in worker listens."""
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


def create_programs(ports: LocalPorts) -> list[ServiceFactory]:
    """Return the factories of the programs, in the order of their start."""

    def create_worker(context: Context) -> Service:
        return WorkerService(context=context, endpoint=ports.worker)

    def create_backend(context: Context) -> Service:
        return BackendService(
            context=context,
            endpoint=ports.backend,
            announce=ports.announce,
            service_name=SERVICE,
        )

    return [
        create_control,
        create_worker,
        create_agent,
        create_backend,
        create_entry,
    ]
