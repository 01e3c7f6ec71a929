"""Sections of a settings file, with their keys and defaults."""

from pathlib import Path
from typing import final

import attrs

from wasabiturn.conf import values
from wasabiturn.conf.values import Member, setting
from wasabiturn.connection.endpoint import Endpoint


@final
@attrs.frozen(kw_only=True)
class InstanceSection:
    """``[instance]``: where this process runs."""

    name: str = setting(values.text())
    data_centre: str = setting(values.text())
    rack: str = setting(values.text(), default='rack-1')
    region: str = setting(values.text(), default='region-1')
    # Memory of the instance, from which the limits on clients follow.
    memory_mb: int = setting(values.integer(64, 1_000_000), default=424)
    # Descriptors that a process may open; 200 of them are kept for files.
    max_fds: int = setting(values.integer(300, 1_000_000), default=4096)


@final
@attrs.frozen(kw_only=True)
class ControlSection:
    """``[control]``: a member of the control group, which replicates the state.

    A closed group consists of the instances listed in ``members``. In an open
    group, instances may join that are not listed; all of them listen on the
    same port, and each is named by its address.
    """

    listen: Endpoint = setting(values.endpoint())
    api_listen: Endpoint = setting(values.endpoint())
    # All members of a closed group; those contacted first in an open group.
    members: tuple[Member, ...] = setting(values.members())
    data_folder: Path = setting(values.path())
    token_file: Path | None = setting(values.path(), default=None)
    # Entries of the replicated log after which a new snapshot is taken.
    snapshot_entries: int = setting(
        values.integer(100, 10_000_000),
        default=10_000,
    )
    # Bytes of the replicated log after which a new snapshot is taken.
    snapshot_bytes: int = setting(
        values.integer(65_536, 1_000_000_000_000),
        default=64_000_000,
    )
    # Number of voters in an open group; 0 for a closed group.
    voters: int = setting(values.integer(0, 9), default=0)
    # Whether this instance may found a cluster if its peers have none.
    may_found: bool = setting(values.flag(), default=True)


@final
@attrs.frozen(kw_only=True)
class EntrySection:
    """``[entry]``: an entry instance behind the platform's load balancer."""

    listen: Endpoint = setting(values.endpoint())
    api_listen: Endpoint = setting(values.endpoint())
    control: tuple[Endpoint, ...] = setting(values.endpoints())
    max_body_bytes: int = setting(
        values.integer(1, 10_000_000_000),
        default=1_000_000_000,
    )
    default_timeout_ms: int = setting(
        values.integer(1, 3_600_000),
        default=10_000,
    )
    drain_seconds: float = setting(values.number(0, 600), default=5.0)


@final
@attrs.frozen(kw_only=True)
class AgentSection:
    """``[agent]``: the process that runs beside a backend server and worker."""

    listen: Endpoint = setting(values.endpoint())
    # Address published to entries, if it differs from ``listen``.
    advertise: Endpoint | None = setting(values.endpoint(), default=None)
    announce_listen: Endpoint = setting(values.endpoint())
    control: tuple[Endpoint, ...] = setting(values.endpoints())
    worker_url: str | None = setting(values.text(), default=None)
    drain_seconds: float = setting(values.number(0, 600), default=30.0)


@final
@attrs.frozen(kw_only=True)
class MetricsSection:
    """``[metrics]``: address of statsd; without it, no metrics are sent."""

    statsd: Endpoint | None = setting(values.endpoint(), default=None)
    prefix: str = setting(values.text(), default='wasabiturn')


@final
@attrs.frozen(kw_only=True)
class LoggingSection:
    """``[logging]``: log file, standard output by default, and log level."""

    file: Path | None = setting(values.path(), default=None)
    level: str = setting(
        values.choice('decision', 'event', 'warning'),
        default='decision',
    )


@final
@attrs.frozen(kw_only=True)
class Settings:
    """Valid settings of one process; absent sections are ``None``."""

    source: Path
    instance: InstanceSection
    metrics: MetricsSection
    logging: LoggingSection
    control: ControlSection | None
    entry: EntrySection | None
    agent: AgentSection | None
