"""Checks of the configurations that the programs themselves read."""

from collections.abc import Callable, Mapping
from types import MappingProxyType

from expression import Error, Ok, Result

from wasabiturn.request.limits import check_limits
from wasabiturn.version.placement.settings import parse_placement_settings

PLACEMENT = 'placement'
REQUESTS = 'requests'

Check = Callable[[dict[str, str]], Result[None, str]]


def check_configuration(
    name: str,
    settings: dict[str, str],
) -> Result[None, str]:
    """Check the settings of the configuration ``name``.

    A name that no program reads may hold any settings. An error names the
    setting, its value and what is accepted.
    """
    check = _CHECKS_BY_NAME.get(name)
    return Ok(None) if check is None else check(settings)


def _check_placement(settings: dict[str, str]) -> Result[None, str]:
    parsed = parse_placement_settings(settings)
    return Ok(None) if parsed.is_ok() else Error(parsed.error)


_CHECKS_BY_NAME: Mapping[str, Check] = MappingProxyType(
    {
        PLACEMENT: _check_placement,
        REQUESTS: check_limits,
    },
)
