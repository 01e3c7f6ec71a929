"""Small deployment on the loopback interface, optionally through relays."""

import configparser
import socket
from collections.abc import Collection
from pathlib import Path
from random import SystemRandom
from typing import Any, final

import attrs

from benchmarks.soak.programs import Program, create_daemon, create_standin
from benchmarks.soak.relay import NetworkPath, open_relay
from wasabiturn.connection.endpoint import Endpoint

LOOPBACK = '127.0.0.1'
SERVICE = 'taller-app'
PORT_RANGE = (10000, 32000)
_PORT_RANDOM = SystemRandom()


@final
@attrs.frozen
class FleetSize:
    """Numbers of instances of each role and of data centres."""

    controls: int = 3
    entries: int = 2
    agents: int = 3
    data_centres: int = 3


@final
@attrs.define(eq=False)
class Fleet:
    """Programs of one deployment and the network paths between them.

    Without ``reactor`` the programs connect directly, and there are no paths.
    """

    folder: Path
    fleet_size: FleetSize
    reactor: Any = None
    programs_by_name: dict[str, Program] = attrs.field(factory=dict)
    endpoints_by_name: dict[str, Endpoint] = attrs.field(factory=dict)
    paths_by_name: dict[str, NetworkPath] = attrs.field(factory=dict)

    def start(self) -> None:
        """Start every program."""
        for program in self.programs_by_name.values():
            program.start()

    def stop(self) -> list[str]:
        """Stop gracefully; return the names of those with nonzero status."""
        running = [
            each for each in self.programs_by_name.values() if each.is_running()
        ]
        for program in running:
            program.thaw()
            program.terminate()
        return [each.name for each in running if each.wait() != 0]

    def kill(self) -> None:
        """Kill every program that still runs."""
        for program in self.programs_by_name.values():
            program.kill()

    def data_centres(self) -> list[str]:
        """Return the names of the data centres."""
        count = self.fleet_size.data_centres
        return [f'dc-{number}' for number in range(1, count + 1)]

    def data_centre_of(self, name: str) -> str:
        """Return the data centre of the program ``name``."""
        number = int(name.rpartition('-')[2])
        return f'dc-{(number - 1) % self.fleet_size.data_centres + 1}'

    def programs_in(self, data_centre: str) -> list[Program]:
        """Return the programs of one data centre."""
        return [
            program
            for name, program in self.programs_by_name.items()
            if self.data_centre_of(name) == data_centre
        ]

    def check_running(self) -> None:
        """Check that every program still runs.

        Raises:
            RuntimeError: A program has ended; the error has its output.
        """
        for program in self.programs_by_name.values():
            if not program.is_running():
                output = program.output.read_text(encoding='utf-8')
                raise RuntimeError(
                    f'{program.name} exited unexpectedly: {output}'
                )

    def endpoint(self, name: str) -> Endpoint:
        """Return the endpoint of ``name``; choose a free port at first use."""
        if name not in self.endpoints_by_name:
            taken = self.endpoints_by_name.values()
            self.endpoints_by_name[name] = _choose_endpoint(taken)
        return self.endpoints_by_name[name]

    def relayed_endpoint(self, source: str, target: str) -> Endpoint:
        """Return the endpoint at which ``source`` connects to ``target``."""
        if self.reactor is None:
            return self.endpoint(target)
        name = f'{source}>{target}'
        if name not in self.paths_by_name:
            self.paths_by_name[name] = open_relay(
                self.reactor,
                self.endpoint(name),
                self.endpoint(target),
            )
        return self.endpoint(name)


def create_fleet(
    folder: Path,
    fleet_size: FleetSize,
    reactor: Any = None,
) -> Fleet:
    """Create a deployment and its settings files; start no program.

    With ``reactor``, programs connect to each other through relays.
    """
    fleet = Fleet(
        folder=folder.resolve(), fleet_size=fleet_size, reactor=reactor
    )
    fleet.folder.mkdir(parents=True, exist_ok=True)
    for number in range(1, fleet_size.controls + 1):
        _add_control(fleet, number)
    for number in range(1, fleet_size.agents + 1):
        _add_agent(fleet, number)
    for number in range(1, fleet_size.entries + 1):
        _add_entry(fleet, number)
    return fleet


def _add_control(fleet: Fleet, number: int) -> None:
    name = f'control-{number}'
    members = [
        f'{peer}@{_member_endpoint(fleet, name, peer)}'
        for peer in _control_names(fleet)
    ]
    section = {
        'listen': fleet.endpoint(name),
        'api_listen': fleet.endpoint(f'{name}-api'),
        'members': ', '.join(members),
        'data_folder': fleet.folder / 'data' / name,
        'snapshot_entries': 500,
    }
    _add_daemon(fleet, 'control', number, section)


def _add_agent(fleet: Fleet, number: int) -> None:
    name = f'agent-{number}'
    worker = fleet.endpoint(f'worker-{number}')
    section = {
        'listen': fleet.endpoint(name),
        'advertise': fleet.relayed_endpoint('entries', name),
        'announce_listen': fleet.endpoint(f'{name}-announce'),
        'control': _join_control_endpoints(fleet, name),
        'worker_url': f'http://{worker}',
        'drain_seconds': 10,
    }
    _add_standins(fleet, number)
    _add_daemon(fleet, 'agent', number, section)


def _add_standins(fleet: Fleet, number: int) -> None:
    backend = create_standin(
        f'backend-{number}',
        fleet.folder,
        'backend',
        {
            '--listen': str(fleet.endpoint(f'backend-{number}')),
            '--announce': str(fleet.endpoint(f'agent-{number}-announce')),
            '--service': SERVICE,
            '--record': str(fleet.folder / f'backend-{number}.records'),
        },
    )
    worker = create_standin(
        f'worker-{number}',
        fleet.folder,
        'worker',
        {
            '--listen': str(fleet.endpoint(f'worker-{number}')),
            '--record': str(fleet.folder / f'worker-{number}.records'),
        },
    )
    fleet.programs_by_name[backend.name] = backend
    fleet.programs_by_name[worker.name] = worker


def _add_entry(fleet: Fleet, number: int) -> None:
    name = f'entry-{number}'
    section = {
        'listen': fleet.endpoint(name),
        'api_listen': fleet.endpoint(f'{name}-api'),
        'control': _join_control_endpoints(fleet, name),
        'drain_seconds': 1,
    }
    _add_daemon(fleet, 'entry', number, section)


def _add_daemon(
    fleet: Fleet,
    command: str,
    number: int,
    section: dict[str, Any],
) -> None:
    name = f'{command}-{number}'
    parser = configparser.ConfigParser(interpolation=None)
    parser['instance'] = {
        'name': name,
        'data_centre': fleet.data_centre_of(name),
        'rack': f'rack-{number}',
    }
    parser[command] = {key: str(value) for key, value in section.items()}
    parser['logging'] = {'file': str(fleet.folder / f'{name}.log')}
    settings = fleet.folder / f'{name}.ini'
    with settings.open('w', encoding='utf-8') as settings_file:
        parser.write(settings_file)
    fleet.programs_by_name[name] = create_daemon(command, settings)


def _control_names(fleet: Fleet) -> list[str]:
    return [
        f'control-{number}'
        for number in range(1, fleet.fleet_size.controls + 1)
    ]


def _member_endpoint(fleet: Fleet, name: str, peer: str) -> Endpoint:
    if peer == name:
        return fleet.endpoint(name)
    return fleet.relayed_endpoint(name, peer)


def _join_control_endpoints(fleet: Fleet, name: str) -> str:
    return ', '.join(
        str(fleet.relayed_endpoint(name, control))
        for control in _control_names(fleet)
    )


def _choose_endpoint(taken: Collection[Endpoint]) -> Endpoint:
    """Return an endpoint with a free port.

    It is below the ports that the kernel chooses for outgoing connections.
    """
    while True:
        endpoint = Endpoint(
            host=LOOPBACK, port=_PORT_RANDOM.randrange(*PORT_RANGE)
        )
        if endpoint in taken:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((endpoint.host, endpoint.port))
            except OSError:
                continue
            return endpoint
