"""The platform's settings file and its conversion to ``Settings``."""

import math
from pathlib import Path
from typing import Any, TypeVar, final

import attrs
import yaml

from wasabiturn.conf.sections import (
    ControlSection,
    InstanceSection,
    LoggingSection,
    MetricsSection,
    Settings,
)
from wasabiturn.conf.values import Member
from wasabiturn.connection.client_guard import (
    DEFAULT_MAX_FDS,
    DEFAULT_MEMORY_MB,
)
from wasabiturn.connection.endpoint import Endpoint, parse_endpoint
from wasabiturn.exceptions import SettingsError
from wasabiturn.platform.announced_fields import (
    DEFAULT_WORKER_LIMITS,
    WorkerLimits,
)
from wasabiturn.platform.job_limits import DEFAULT_JOB_LIMITS, JobLimits

# Offsets from the first port of the range that the platform assigns.
LINK_PORT_OFFSET = 0
API_PORT_OFFSET = 1
# Number of log entries after which a member takes a snapshot.
SNAPSHOT_ENTRIES = 4000
# Share of the disk that the log may grow by between two snapshots. The disk
# also holds what the newest snapshot doesn't cover yet, two snapshots, and the
# room that is set aside for the next.
LOG_DISK_DIVISOR = 8
DEFAULT_DISK_MB = 512
DEFAULT_LEASE_MS = 6000
# A program does not run with less memory or fewer descriptors.
MIN_MEMORY_MB = 64
MIN_FDS = 300
_MB = 1_000_000

LimitsType = TypeVar('LimitsType', JobLimits, WorkerLimits)


@final
@attrs.frozen
class PlatformSettings:
    """Settings of one process; addresses that it does not use are ``None``."""

    source: Path
    name: str
    address: str
    data_centre: str
    region: str
    data_centres: tuple[str, ...]
    callers_listen: Endpoint | None
    ready_listen: Endpoint | None
    control_listen: Endpoint | None
    first_port: int
    seeds: tuple[str, ...]
    may_found: bool
    tolerated_failures: int
    data_folder: Path | None
    disk_bytes: int
    worker_address: Endpoint | None
    lease_ms: int
    # How many times as long a task takes outside its rack; 1 if not given.
    slowdown_factor: float
    # Whether tasks may wait for a place in their rack.
    waits_for_racks: bool
    # Whether the priority of a queue counts in the order of jobs.
    orders_by_priority: bool
    memory_mb: int = DEFAULT_MEMORY_MB
    max_fds: int = DEFAULT_MAX_FDS
    job_limits: JobLimits = DEFAULT_JOB_LIMITS
    worker_limits: WorkerLimits = DEFAULT_WORKER_LIMITS

    @property
    def link_port(self) -> int:
        """Return the port for links between Wasabiturn processes."""
        return self.first_port + LINK_PORT_OFFSET

    @property
    def log_bytes(self) -> int:
        """Return by how much the log may grow between two snapshots."""
        return self.disk_bytes // LOG_DISK_DIVISOR


def read_platform_settings(source: Path) -> PlatformSettings:
    """Return the settings in the file ``source``.

    Raises:
        SettingsError: the file cannot be read or is invalid.
    """
    return parse_platform_settings(source, read_settings_text(source))


def read_settings_text(source: Path) -> str:
    """Return the text of the settings file.

    Raises:
        SettingsError: the file cannot be read.
    """
    try:
        return source.read_text(encoding='utf-8')
    except (OSError, UnicodeError) as error:
        raise SettingsError(
            f'{source}: cannot read the file: {error}'
        ) from error


def parse_platform_settings(source: Path, text: str) -> PlatformSettings:
    """Return the settings in ``text``, which was read from ``source``.

    Raises:
        SettingsError: the text is not YAML, or a field is missing or invalid.
    """
    try:
        return _decode(source, yaml.safe_load(text))
    except yaml.YAMLError as error:
        raise SettingsError(f'{source}: invalid YAML: {error}') from error
    except RecursionError as error:
        raise SettingsError(f'{source}: nested too deeply') from error
    except (LookupError, TypeError, ValueError) as error:
        raise SettingsError(
            f'{source}: missing or invalid field: {error!r}'
        ) from error


def create_settings(platform: PlatformSettings) -> Settings:
    """Return the ``Settings`` of this process."""
    control = None
    if platform.data_folder is not None:
        control = ControlSection(
            listen=Endpoint(platform.address, platform.link_port),
            api_listen=Endpoint(
                platform.address,
                platform.first_port + API_PORT_OFFSET,
            ),
            members=tuple(
                Member(name=seed, endpoint=Endpoint(seed, platform.link_port))
                for seed in platform.seeds
            ),
            data_folder=platform.data_folder,
            snapshot_entries=SNAPSHOT_ENTRIES,
            snapshot_bytes=platform.log_bytes,
            voters=2 * platform.tolerated_failures + 1,
            may_found=platform.may_found,
        )
    return Settings(
        source=platform.source,
        instance=InstanceSection(
            name=platform.address,
            data_centre=platform.data_centre,
            region=platform.region,
        ),
        metrics=MetricsSection(),
        logging=LoggingSection(),
        control=control,
        entry=None,
        agent=None,
    )


def _decode(source: Path, fields: dict[str, Any]) -> PlatformSettings:
    if not isinstance(fields, dict):
        raise TypeError('the settings are not a mapping')
    listen = fields.get('listen') or {}
    folder = fields.get('data_dir')
    bounds = fields.get('bounds') or {}
    tolerance = fields.get('fault_tolerance') or {}
    limits = fields.get('limits') or {}
    return PlatformSettings(
        source=source,
        name=str(fields['node']),
        address=str(fields['ip']),
        data_centre=str(fields['zone']),
        region=str(fields.get('region', '')),
        data_centres=tuple(fields.get('zones') or ()),
        callers_listen=_parse_optional_endpoint(listen.get('front')),
        ready_listen=_parse_optional_endpoint(listen.get('ready')),
        control_listen=_parse_optional_endpoint(listen.get('control')),
        first_port=int(fields['port_range'][0]),
        seeds=tuple(
            parse_endpoint(seed).host for seed in fields.get('seeds') or ()
        ),
        may_found=fields.get('bootstrap') is True,
        tolerated_failures=max(int(tolerance.get('machines', 1)), 1),
        data_folder=Path(folder) if folder else None,
        disk_bytes=int(limits.get('disk_mb') or DEFAULT_DISK_MB) * _MB,
        worker_address=_parse_optional_endpoint(fields.get('app')),
        lease_ms=int(bounds.get('hold_max_ms', DEFAULT_LEASE_MS)),
        slowdown_factor=_read_factor(bounds.get('slowdown_factor') or 1),
        waits_for_racks=fields.get('wait_for_rack') is not False,
        orders_by_priority=fields.get('order_by_priority') is True,
        memory_mb=_read_amount(
            limits.get('memory_mb') or DEFAULT_MEMORY_MB, MIN_MEMORY_MB
        ),
        max_fds=_read_amount(limits.get('max_fds') or DEFAULT_MAX_FDS, MIN_FDS),
        job_limits=_read_limits(DEFAULT_JOB_LIMITS, fields, 'job_limits'),
        worker_limits=_read_limits(
            DEFAULT_WORKER_LIMITS, fields, 'worker_limits'
        ),
    )


def _read_limits(
    defaults: LimitsType, fields: dict[str, Any], key: str
) -> LimitsType:
    """Return the limits at ``key``, and the defaults of those not given."""
    declared = fields.get(key) or {}
    known = {each.name for each in attrs.fields(type(defaults))}
    given = {
        name: _read_amount(declared[name], 1)
        for name in known & declared.keys()
    }
    return attrs.evolve(defaults, **given)


def _parse_optional_endpoint(endpoint_text: str | None) -> Endpoint | None:
    return parse_endpoint(endpoint_text) if endpoint_text else None


def _read_amount(amount: Any, least: int) -> int:
    if int(amount) < least:
        raise ValueError(f'{amount} is less than {least}')
    return int(amount)


def _read_factor(factor: Any) -> float:
    if not math.isfinite(float(factor)):
        raise ValueError(f'{factor} is no finite number')
    return float(factor)
