"""The settings file read anew, on a signal and without one."""

from typing import final

from wasabiturn.exceptions import SettingsError
from wasabiturn.platform.settings import (
    PlatformSettings,
    parse_platform_settings,
    read_text,
)
from wasabiturn.process.control_group import ControlGroup
from wasabiturn.utils.logs import create_part_log

_log = create_part_log('settings')


@final
class SettingsWatch:
    """Puts changed settings to use."""

    def __init__(self, platform: PlatformSettings, group: ControlGroup) -> None:
        """Watch the file that ``platform`` was read from."""
        self._platform = platform
        self._group = group
        self._text = ''

    def reload(self) -> None:
        """Use the seeds of the file, if it has changed and can be read."""
        try:
            read = self._read_change()
        except SettingsError as error:
            _log.warning('settings not read', error=str(error))
            return
        if read is None:
            return
        _log.event('settings read', seeds=list(read.seeds))
        if read.seeds != self._platform.seeds:
            _log.event('seeds changed', seeds=list(read.seeds))
            self._group.use_seeds(read.seeds)
        self._platform = read

    def _read_change(self) -> PlatformSettings | None:
        source = self._platform.source
        text = read_text(source)
        if text == self._text:
            return None
        self._text = text
        return parse_platform_settings(source, text)
