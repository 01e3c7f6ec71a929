"""Sections of a settings file."""

from pathlib import Path
from typing import final

import attrs

from wasabiturn.conf import values
from wasabiturn.conf.values import Member, setting
from wasabiturn.connection.dialer import Endpoint


@final
@attrs.frozen(kw_only=True)
class InstanceSection:
    """``[instance]``: where this process runs."""

    name: str = setting(values.text())
    data_centre: str = setting(values.text())
    rack: str = setting(values.text(), default='rack-1')
    region: str = setting(values.text(), default='region-1')


@final
@attrs.frozen(kw_only=True)
class ControlSection:
    """``[control]``: a member of the replicated state.

    ``voters`` is 0 for a closed group, which has ``members`` and no others. In
    an open one, ``members`` are those to ask first, all instances listen at
    the same port, and each is named by its address.
    """

    listen: Endpoint = setting(values.endpoint())
    api_listen: Endpoint = setting(values.endpoint())
    members: tuple[Member, ...] = setting(values.members())
    data_folder: Path = setting(values.path())
    token_file: Path | None = setting(values.path(), default=None)
    snapshot_entries: int = setting(
        values.integer(100, 10_000_000),
        default=10_000,
    )
    voters: int = setting(values.integer(0, 9), default=0)
    may_found: bool = setting(values.flag(), default=True)


@final
@attrs.frozen(kw_only=True)
class EntrySection:
    """``[entry]``: an entry instance behind the platform's balancer."""

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
    """``[agent]``: the process beside one backend server and worker.

    ``advertise`` is the address told to entries where it differs from
    ``listen``.
    """

    listen: Endpoint = setting(values.endpoint())
    advertise: Endpoint | None = setting(values.endpoint(), default=None)
    announce_listen: Endpoint = setting(values.endpoint())
    control: tuple[Endpoint, ...] = setting(values.endpoints())
    worker_url: str | None = setting(values.text(), default=None)
    drain_seconds: float = setting(values.number(0, 600), default=30.0)


@final
@attrs.frozen(kw_only=True)
class MetricsSection:
    """``[metrics]``: where statsd listens; nothing is sent without it."""

    statsd: Endpoint | None = setting(values.endpoint(), default=None)
    prefix: str = setting(values.text(), default='wasabiturn')


@final
@attrs.frozen(kw_only=True)
class LoggingSection:
    """``[logging]``: standard output unless a file is named."""

    file: Path | None = setting(values.path(), default=None)
    level: str = setting(
        values.choice('decision', 'event', 'warning'),
        default='decision',
    )
