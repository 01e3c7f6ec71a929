"""Weights and limits, read from the configuration ``placement``."""

from typing import final

import attrs
from expression import Error, Ok, Result

CONFIGURATION_NAME = 'placement'


@final
@attrs.frozen
class PlacementSettings:
    """Weights of the placement cost and limits of eviction.

    Each is a number >= 0. A weight of 0 disables its part of the cost.
    """

    interference_weight: float = 4.0
    service_weight: float = 4.0
    batch_weight: float = 1.0
    fit_weight: float = 1.0
    spread_weight: float = 4.0
    # Number of waiting tasks that backfilled tasks may not delay.
    reservations: float = 2.0
    # Share of the target p99 of a service that placement aims at.
    target_share: float = 1.0
    # Lowest share of full speed that a task is throttled to.
    throttle_floor: float = 0.5
    # How long a p99 must be over its limit before each step of relief.
    suffering_seconds: float = 15.0
    # How long it must be well below the limit before tasks speed up again.
    recovery_seconds: float = 10.0
    max_evictions_at_once: float = 32.0
    evictions_per_minute: float = 1.0
    max_starting_per_worker: float = 8.0


def parse_placement_settings(
    settings: dict[str, str],
) -> Result[PlacementSettings, str]:
    """Parse the configuration; settings that are absent get defaults."""
    known = {field.name for field in attrs.fields(PlacementSettings)}
    numbers = {}
    for key, text in settings.items():
        if key not in known:
            return Error(f'{key}: not a setting of placement')
        number = _parse_number(text)
        if number is None:
            return Error(f'{key}: {text!r} is not a number from 0 upwards')
        numbers[key] = number
    return Ok(PlacementSettings(**numbers))


def _parse_number(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number < float('inf') else None
