"""Checks of the configurations that the programs themselves read."""

from collections.abc import Callable, Mapping
from types import MappingProxyType

from expression import Error, Ok, Result

from wasabiturn.request import limits
from wasabiturn.version.placement import settings

Check = Callable[[dict[str, str]], Result[None, str]]


def check_configuration(
    name: str,
    written: dict[str, str],
) -> Result[None, str]:
    """Check the ``written`` settings of the configuration ``name``.

    A name that no program reads may hold any settings. An error names the
    setting, its value and what is accepted.
    """
    check = _CHECKS_BY_NAME.get(name)
    return Ok(None) if check is None else check(written)


def _check_placement(written: dict[str, str]) -> Result[None, str]:
    parsed = settings.parse_placement_settings(written)
    return Ok(None) if parsed.is_ok() else Error(parsed.error)


_CHECKS_BY_NAME: Mapping[str, Check] = MappingProxyType(
    {
        settings.CONFIGURATION_NAME: _check_placement,
        limits.CONFIGURATION_NAME: limits.check_limits,
    },
)
