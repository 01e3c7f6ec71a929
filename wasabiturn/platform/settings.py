"""The settings file that the platform writes, and ours made of it."""

from pathlib import Path
from typing import Any, final

import attrs
import yaml

from wasabiturn.conf import Settings
from wasabiturn.conf.sections import (
    ControlSection,
    InstanceSection,
    LoggingSection,
    MetricsSection,
)
from wasabiturn.conf.values import Member
from wasabiturn.connection.dialer import Endpoint, parse_endpoint
from wasabiturn.exceptions import SettingsError

# Ports of the range that the platform leaves to us, counted from its first.
LINK_PORT_OFFSET = 0
API_PORT_OFFSET = 1
# Entries of the log after which a member takes a snapshot.
SNAPSHOT_ENTRIES = 4000
DEFAULT_LEASE_MS = 6000


@final
@attrs.frozen
class PlatformSettings:
    """What a process is told; addresses that it does not serve are absent."""

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
    tolerated_losses: int
    data_folder: Path | None
    worker_address: Endpoint | None
    lease_ms: int

    @property
    def link_port(self) -> int:
        """Return the port for links between our processes."""
        return self.first_port + LINK_PORT_OFFSET


def read_platform_settings(source: Path) -> PlatformSettings:
    """Read the settings file.

    Raises:
        SettingsError: the file cannot be read, or a field is missing.
    """
    return parse_platform_settings(source, read_text(source))


def read_text(source: Path) -> str:
    """Return the text of the settings file.

    Raises:
        SettingsError: the file cannot be read.
    """
    try:
        return source.read_text(encoding='utf-8')
    except (OSError, UnicodeError) as error:
        raise SettingsError(f'{source}: cannot be read: {error}') from error


def parse_platform_settings(source: Path, text: str) -> PlatformSettings:
    """Return the settings in ``text``, which ``source`` held.

    Raises:
        SettingsError: the text is no YAML, or a field is missing or wrong.
    """
    try:
        return _decode(source, yaml.safe_load(text))
    except yaml.YAMLError as error:
        raise SettingsError(f'{source}: no YAML: {error}') from error
    except (LookupError, TypeError, ValueError) as error:
        raise SettingsError(f'{source}: a field is wrong: {error!r}') from error


def create_settings(platform: PlatformSettings) -> Settings:
    """Return the settings of the product for this process."""
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
            voters=2 * platform.tolerated_losses + 1,
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


def _decode(source: Path, written: dict[str, Any]) -> PlatformSettings:
    if not isinstance(written, dict):
        raise TypeError('no table')
    listen = written.get('listen') or {}
    folder = written.get('data_dir')
    bounds = written.get('bounds') or {}
    tolerance = written.get('fault_tolerance') or {}
    return PlatformSettings(
        source=source,
        name=str(written['node']),
        address=str(written['ip']),
        data_centre=str(written['zone']),
        region=str(written.get('region', '')),
        data_centres=tuple(written.get('zones') or ()),
        callers_listen=_endpoint(listen.get('front')),
        ready_listen=_endpoint(listen.get('ready')),
        control_listen=_endpoint(listen.get('control')),
        first_port=int(written['port_range'][0]),
        seeds=tuple(
            parse_endpoint(seed).host for seed in written.get('seeds') or ()
        ),
        may_found=written.get('bootstrap') is True,
        tolerated_losses=max(int(tolerance.get('machines', 1)), 1),
        data_folder=Path(folder) if folder else None,
        worker_address=_endpoint(written.get('app')),
        lease_ms=int(bounds.get('hold_max_ms', DEFAULT_LEASE_MS)),
    )


def _endpoint(written: str | None) -> Endpoint | None:
    return parse_endpoint(written) if written else None
