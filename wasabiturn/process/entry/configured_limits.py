"""Limits on callers that follow the committed configuration.

A limit that is not set has its default. A new process begins with the defaults
and keeps the last limits while no leader answers.
"""

from collections.abc import Callable, Sequence
from typing import Protocol, final

import attrs

from wasabiturn.connection.http_limits import HttpLimits
from wasabiturn.messages.batch import ClientLimits, LeaderStatus
from wasabiturn.utils.logs import create_component_log

# Part of the memory budget that one body may take.
MAX_BODY_BUDGET_DIVISOR = 2
_MS_PER_SECOND = 1000

_log = create_component_log('clients')


class LimitedSite(Protocol):
    """Site whose limits are set."""

    limits: HttpLimits


@final
class ConfiguredLimits:
    """Applies the limits in the leader's status to the callers' sites."""

    def __init__(
        self,
        defaults: HttpLimits,
        budget_bytes: int,
        find_sites: Callable[[], Sequence[LimitedSite]],
    ) -> None:
        """Create limits that are the ``defaults`` until a status sets others.

        No body may be larger than a half of ``budget_bytes``.
        """
        self._defaults = defaults
        self._max_body_bytes = budget_bytes // MAX_BODY_BUDGET_DIVISOR
        self._find_sites = find_sites
        self._limits = defaults

    def follow(self, status: LeaderStatus) -> None:
        """Apply the limits of a status, if they have changed."""
        configured = status.client_limits
        if configured is None:
            return
        limits = merge_limits(configured, self._defaults, self._max_body_bytes)
        if limits == self._limits:
            return
        self._limits = limits
        for site in self._find_sites():
            site.limits = limits
        _log.event('limits on callers changed', **attrs.asdict(limits))


def merge_limits(
    configured: ClientLimits, defaults: HttpLimits, max_body_bytes: int
) -> HttpLimits:
    """Return the configured limits, and the defaults of those not set."""
    body_bytes = configured.max_body_bytes or defaults.max_body_bytes
    return HttpLimits(
        max_head_bytes=configured.max_head_bytes or defaults.max_head_bytes,
        max_body_bytes=min(body_bytes, max_body_bytes),
        max_header_fields=defaults.max_header_fields,
        head_timeout_seconds=(
            configured.head_timeout_ms / _MS_PER_SECOND
            or defaults.head_timeout_seconds
        ),
        idle_timeout_seconds=(
            configured.idle_timeout_ms / _MS_PER_SECOND
            or defaults.idle_timeout_seconds
        ),
    )
