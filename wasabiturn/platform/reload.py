"""Reload of the settings file, on SIGHUP and at regular intervals."""

from typing import final

from wasabiturn.exceptions import SettingsError
from wasabiturn.platform.settings import (
    PlatformSettings,
    parse_platform_settings,
    read_settings_text,
)
from wasabiturn.process.control_group import ControlGroup
from wasabiturn.utils.logs import create_component_log

_log = create_component_log('settings')


@final
class SettingsReloader:
    """Reads the settings file again and applies changed seeds."""

    def __init__(self, platform: PlatformSettings, group: ControlGroup) -> None:
        """Create the reloader of the file that ``platform`` was read from."""
        self._platform = platform
        self._group = group
        self._text = ''

    def reload(self) -> None:
        """Apply the seeds of the file if it has changed and is valid."""
        try:
            new_settings = self._read_if_changed()
        except SettingsError as error:
            _log.warning(
                'cannot reload settings; keeping the current ones',
                error=str(error),
            )
            return
        if new_settings is None:
            return
        _log.event('settings reloaded', seeds=list(new_settings.seeds))
        if new_settings.seeds != self._platform.seeds:
            _log.event('seeds changed', seeds=list(new_settings.seeds))
            self._group.set_seeds(new_settings.seeds)
        self._platform = new_settings

    def _read_if_changed(self) -> PlatformSettings | None:
        source = self._platform.source
        text = read_settings_text(source)
        if text == self._text:
            return None
        self._text = text
        return parse_platform_settings(source, text)
