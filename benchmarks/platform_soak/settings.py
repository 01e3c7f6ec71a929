"""Settings files of the platform's programs."""

import json
from pathlib import Path
from typing import Any, final

import attrs

DATA_CENTRES = ('zone-a', 'zone-b', 'zone-c')
SERVICE = 'taller'
# Without workers: the jobs of a crowd are only stored.
CROWD_SERVICE = 'nadie'
CROWD_HOST = 'multitud.example'
CROWD_PREFIX = '/multitud/'
HOST = 'cola.example'
PREFIX = '/cola/'
CONTACT_MS = 3000
LEASE_MS = 6000
GRACE_SECONDS = 6
DISK_MB = 128
MEMORY_MB = 300


@final
@attrs.frozen
class Ports:
    """Ports that are the same on each address.

    Each process has a link port of its own. It dials others at this port, where
    a relay passes its connections on.
    """

    first: int

    def link(self, process_number: int) -> int:
        """Return the link port of one process."""
        return self.first + 2 * process_number

    @property
    def callers(self) -> int:
        """Return the port for callers."""
        return self.first - 1

    @property
    def ready(self) -> int:
        """Return the port for checks of readiness."""
        return self.first - 2

    @property
    def control(self) -> int:
        """Return the port for operators or for announcements."""
        return self.first - 3

    @property
    def worker(self) -> int:
        """Return the port at which an agent calls its worker."""
        return self.first - 4

    @property
    def inner_worker(self) -> int:
        """Return the port of a worker behind the relay."""
        return self.first - 5


@final
@attrs.frozen
class Site:
    """One process: where it runs and what it may use."""

    name: str
    address: str
    data_centre: str
    ports: Ports
    link_port: int
    seeds: tuple[str, ...]
    data_folder: Path | None = None
    serves_callers: bool = False
    has_worker: bool = False
    memory_mb: int = MEMORY_MB
    disk_mb: int = DISK_MB


def write_settings(site: Site, path: Path) -> None:
    """Write the settings file of one process; each JSON text is YAML."""
    path.write_text(json.dumps(_create_fields(site), indent=1), 'utf-8')


def create_routing(version: int) -> dict[str, Any]:
    """Return the configuration with the one queue of a soak."""
    route = {
        'name': 'cola',
        'host': HOST,
        'prefix': PREFIX,
        'kind': 'mutating',
        'timeout_ms': 3000,
        'slo_ms': 1000,
        'priority': 0,
        'service': SERVICE,
        'attempts': 4,
        'stretch': 2.0,
    }
    service = {
        'name': SERVICE,
        'health_path': '/healthz',
        'max_conns': 64,
        'proto': 'h1',
        'tls': False,
        'cold_start_s': 0.0,
        'cold_per_s': 0.0,
        'admission_check': False,
        'standby': False,
    }
    limits = {
        'max_header_bytes': 16384,
        'max_body_bytes': 262144,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    }
    return {
        'version': version,
        'routes': [route],
        'services': [service],
        'limits': limits,
    }


def create_crowded_routing(version: int) -> dict[str, Any]:
    """Return the configuration with a queue for crowds as well."""
    routing = create_routing(version)
    route = routing['routes'][0]
    service = routing['services'][0]
    crowd_route = {
        'name': 'multitud',
        'host': CROWD_HOST,
        'prefix': CROWD_PREFIX,
        'service': CROWD_SERVICE,
    }
    routing['routes'].append({**route, **crowd_route})
    routing['services'].append({**service, 'name': CROWD_SERVICE})
    return routing


def create_announcement(labels: list[str]) -> bytes:
    """Return the body by which a worker announces itself."""
    fields = {
        'service': SERVICE,
        'addr': '127.0.0.1:1',
        'zone': DATA_CENTRES[0],
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'cold_left_ms': 0,
        'capacity': {'cpu': 16_000, 'mem_mb': 32_768, 'gpu': 0},
        'labels': labels,
        'clock_ms': 1,
        'seq': 1,
        'born': 1,
    }
    return json.dumps(fields).encode()


def _create_fields(site: Site) -> dict[str, Any]:
    ports = site.ports
    listen = {}
    if site.serves_callers or site.has_worker:
        listen['control'] = f'{site.address}:{ports.control}'
    if site.serves_callers:
        listen['front'] = f'{site.address}:{ports.callers}'
        listen['ready'] = f'{site.address}:{ports.ready}'
    worker = f'{site.address}:{ports.worker}' if site.has_worker else None
    return {
        'node': site.name,
        'ip': site.address,
        'zone': site.data_centre,
        'region': 'region',
        'zones': dict.fromkeys(DATA_CENTRES, 'region'),
        'listen': listen,
        'port_range': [site.link_port, site.link_port + 1],
        'seeds': [f'{seed}:{ports.control}' for seed in site.seeds],
        'bootstrap': True,
        'limits': {'memory_mb': site.memory_mb, 'disk_mb': site.disk_mb},
        'data_dir': site.data_folder and str(site.data_folder),
        'app': worker,
        'fault_tolerance': {'machines': 1, 'zones': 1, 'regions': 0},
        'bounds': {
            'contact_ms': CONTACT_MS,
            'hold_max_ms': LEASE_MS,
            'grace_s': GRACE_SECONDS,
        },
        'orders': 'rpc',
    }
