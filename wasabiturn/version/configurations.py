"""Validation of configurations that wasabiturn itself reads."""

from collections.abc import Callable, Mapping
from types import MappingProxyType

from expression import Error, Ok, Result

from wasabiturn.request import limits
from wasabiturn.version.placement import settings

Check = Callable[[dict[str, str]], Result[None, str]]


def check_configuration(
    name: str,
    settings_by_name: dict[str, str],
) -> Result[None, str]:
    """Validate the settings of the configuration ``name``.

    A configuration that wasabiturn does not read may have any settings. An
    error names the setting, its value and the accepted values.
    """
    check = _CHECKS_BY_NAME.get(name)
    return Ok(None) if check is None else check(settings_by_name)


def _check_placement_settings(
    settings_by_name: dict[str, str],
) -> Result[None, str]:
    parsed = settings.parse_placement_settings(settings_by_name)
    return Ok(None) if parsed.is_ok() else Error(parsed.error)


_CHECKS_BY_NAME: Mapping[str, Check] = MappingProxyType(
    {
        settings.CONFIGURATION_NAME: _check_placement_settings,
        limits.CONFIGURATION_NAME: limits.check_limits,
    },
)
