"""Run one program: ``python -m wasabiturn.platform control|entry|agent``."""

import os
import sys
from pathlib import Path
from types import MappingProxyType

from wasabiturn.exceptions import SettingsError
from wasabiturn.platform.factories import (
    create_agent,
    create_control,
    create_entry,
)
from wasabiturn.platform.settings import (
    create_settings,
    read_platform_settings,
)
from wasabiturn.process.daemon import run_daemon

SETTINGS_VARIABLE = 'WASABITURN_SETTINGS'
EXIT_WRONG_USE = 2
_FACTORIES_BY_PROGRAM = MappingProxyType(
    {
        'control': create_control,
        'entry': create_entry,
        'agent': create_agent,
    }
)


def main(arguments: list[str]) -> int:
    """Run the program that ``arguments`` name; return the exit status."""
    factory = _FACTORIES_BY_PROGRAM.get(arguments[0] if arguments else '')
    source = os.environ.get(SETTINGS_VARIABLE, '')
    if factory is None or not source:
        names = '|'.join(_FACTORIES_BY_PROGRAM)
        sys.stderr.write(
            f'usage: {SETTINGS_VARIABLE}=FILE wasabiturn.platform {names}\n',
        )
        return EXIT_WRONG_USE
    try:
        platform = read_platform_settings(Path(source))
    except SettingsError as error:
        sys.stderr.write(f'wasabiturn: {error}\n')
        return EXIT_WRONG_USE
    settings = create_settings(platform)
    return run_daemon(settings, [lambda context: factory(context, platform)])


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
