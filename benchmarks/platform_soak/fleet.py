"""Processes of a soak, each on the address of its instance."""

import socket
from pathlib import Path
from random import SystemRandom
from typing import Any, final

import attrs

from benchmarks.platform_soak.journal import Journal
from benchmarks.platform_soak.settings import (
    DATA_CENTRES,
    DISK_MB,
    MEMORY_MB,
    Ports,
    Site,
    write_settings,
)
from benchmarks.platform_soak.workers import Worker, create_worker
from benchmarks.soak.programs import Program
from benchmarks.soak.relay import NetworkPath, open_relay
from wasabiturn.connection.endpoint import Endpoint

FIRST_PORTS = range(12000, 28000, 200)
METRICS_PORT = 9102
SEEDS = 3
# Addresses of the instances beside workers begin here.
FIRST_AGENT_ADDRESS = 100
_SYSTEM_RANDOM = SystemRandom()


@final
@attrs.frozen
class FleetSize:
    """Numbers of entry instances without and with a disk, and of workers.

    Each program has ``memory_mb``, and each disk ``disk_mb``.
    """

    diskless: int = 0
    with_disk: int = 3
    workers: int = 6
    memory_mb: int = MEMORY_MB
    disk_mb: int = DISK_MB


@final
@attrs.define(eq=False)
class Fleet:
    """Programs, workers and the paths between processes."""

    folder: Path
    reactor: Any
    journal: Journal
    fleet_size: FleetSize
    network: str
    ports: Ports
    programs_by_name: dict[str, Program] = attrs.field(factory=dict)
    sites_by_name: dict[str, Site] = attrs.field(factory=dict)
    workers_by_name: dict[str, Worker] = attrs.field(factory=dict)
    paths_by_name: dict[str, NetworkPath] = attrs.field(factory=dict)

    def start(self) -> None:
        """Start all programs and workers."""
        for program in self.programs_by_name.values():
            program.start()
        for worker in self.workers_by_name.values():
            worker.start()

    def kill(self) -> None:
        """End every program that still runs, each by its process id."""
        for program in self.programs_by_name.values():
            program.kill()
        for worker in self.workers_by_name.values():
            worker.crash()

    def entries(self) -> list[Site]:
        """Return the entries."""
        sites = self.sites_by_name.values()
        return [site for site in sites if site.serves_callers]

    def callers_endpoint(self, entry: Site) -> Endpoint:
        """Return where callers reach an entry."""
        return Endpoint(entry.address, self.ports.callers)

    def operators_endpoint(self, entry: Site) -> Endpoint:
        """Return where operators reach an entry."""
        return Endpoint(entry.address, self.ports.control)

    def find_ended(self) -> list[str]:
        """Return the names of the programs that do not run."""
        return [
            name
            for name, program in self.programs_by_name.items()
            if not program.is_running()
        ]


def create_fleet(
    folder: Path, reactor: Any, journal: Journal, fleet_size: FleetSize
) -> Fleet:
    """Create settings, relays and programs; start no program."""
    network, first_port = _choose_network()
    fleet = Fleet(
        folder=folder,
        reactor=reactor,
        journal=journal,
        fleet_size=fleet_size,
        network=network,
        ports=Ports(first_port),
    )
    count = fleet_size.diskless + fleet_size.with_disk
    for number in range(1, count + 1):
        _add_instance(fleet, number, has_disk=number > fleet_size.diskless)
    for number in range(1, fleet_size.workers + 1):
        _add_agent(fleet, number)
    _open_links(fleet)
    return fleet


def _add_instance(fleet: Fleet, number: int, has_disk: bool) -> None:
    """Add an entry, and a control member if the instance has a disk."""
    folder = fleet.folder / f'disk-{number}' if has_disk else None
    if folder is not None:
        (folder / 'control').mkdir(parents=True)
        (folder / 'entry').mkdir()
        _add_program(
            fleet,
            'control',
            _create_site(
                fleet, f'control-{number}', number, folder / 'control'
            ),
        )
    site = _create_site(
        fleet, f'entry-{number}', number, folder and folder / 'entry'
    )
    _add_program(fleet, 'entry', attrs.evolve(site, serves_callers=True))


def _add_agent(fleet: Fleet, number: int) -> None:
    address = FIRST_AGENT_ADDRESS + number
    site = _create_site(fleet, f'agent-{number}', address)
    site = attrs.evolve(site, has_worker=True)
    _add_program(fleet, 'agent', site)
    worker = attrs.evolve(site, name=f'worker-{number}')
    created = create_worker(worker, fleet.reactor, fleet.journal)
    fleet.workers_by_name[worker.name] = created
    fleet.paths_by_name[f'agent-{number}>worker-{number}'] = created.path


def _create_site(
    fleet: Fleet, name: str, address: int, data_folder: Path | None = None
) -> Site:
    count = fleet.fleet_size.diskless + fleet.fleet_size.with_disk
    return Site(
        name=name,
        address=f'{fleet.network}.{address}',
        data_centre=DATA_CENTRES[address % len(DATA_CENTRES)],
        ports=fleet.ports,
        link_port=fleet.ports.link(len(fleet.programs_by_name)),
        seeds=tuple(
            f'{fleet.network}.{seed}'
            for seed in range(1, min(count, SEEDS) + 1)
        ),
        data_folder=data_folder,
        memory_mb=fleet.fleet_size.memory_mb,
        disk_mb=fleet.fleet_size.disk_mb,
    )


def _add_program(fleet: Fleet, role: str, site: Site) -> None:
    settings = fleet.folder / f'{site.name}.yaml'
    write_settings(site, settings)
    fleet.sites_by_name[site.name] = site
    fleet.programs_by_name[site.name] = Program(
        name=site.name,
        arguments=('-m', 'wasabiturn.platform', role),
        output=fleet.folder / f'{site.name}.log',
        environment={'WASABITURN_SETTINGS': str(settings)},
    )


def _open_links(fleet: Fleet) -> None:
    """Open a relay from each process to each that accepts links."""
    for target in _list_link_targets(fleet):
        for name, source in fleet.sites_by_name.items():
            if source is target:
                continue
            fleet.paths_by_name[f'{name}>{target.name}'] = open_relay(
                fleet.reactor,
                Endpoint(target.address, source.link_port),
                Endpoint(target.address, target.link_port),
            )


def _list_link_targets(fleet: Fleet) -> list[Site]:
    """Return the members, and the entries of instances without a disk."""
    return [
        site
        for name, site in fleet.sites_by_name.items()
        if name.startswith('control')
        or (site.serves_callers and site.data_folder is None)
    ]


def _choose_network() -> tuple[str, int]:
    """Return the first octets of free loopback addresses, and a free port."""
    while True:
        octets = [_SYSTEM_RANDOM.randrange(20, 250) for _ in range(2)]
        network = '.'.join(['127', *map(str, octets)])
        first_port = _SYSTEM_RANDOM.choice(FIRST_PORTS)
        if _is_free(f'{network}.1', METRICS_PORT) and _is_free(
            f'{network}.1', first_port
        ):
            return network, first_port


def _is_free(address: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True
