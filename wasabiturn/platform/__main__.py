"""Run one program: ``python -m wasabiturn.platform control|entry|agent``.

A process imports only the program that it runs. A control program on an
instance without a disk runs nothing.
"""

import importlib
import os
import signal
import sys
from pathlib import Path
from types import MappingProxyType

from wasabiturn.exceptions import SettingsError
from wasabiturn.platform.diskless import wait_for_stop
from wasabiturn.platform.settings import (
    PlatformSettings,
    create_settings,
    read_platform_settings,
)

SETTINGS_VARIABLE = 'WASABITURN_SETTINGS'
EXIT_USAGE_ERROR = 2
MODULES_BY_PROGRAM = MappingProxyType(
    {
        'control': 'wasabiturn.platform.control_program',
        'entry': 'wasabiturn.platform.entry_program',
        'agent': 'wasabiturn.platform.agent_program',
    }
)


def main(arguments: list[str]) -> int:
    """Run the program named in ``arguments`` and return the exit status."""
    module_name = MODULES_BY_PROGRAM.get(arguments[0] if arguments else '')
    source = os.environ.get(SETTINGS_VARIABLE, '')
    if module_name is None or not source:
        names = '|'.join(MODULES_BY_PROGRAM)
        sys.stderr.write(
            f'usage: {SETTINGS_VARIABLE}=FILE wasabiturn.platform {names}\n',
        )
        return EXIT_USAGE_ERROR
    # The daemon handles it once it runs. Until then it would end the process,
    # and its imports take a while; the file is read again after the start.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        platform = read_platform_settings(Path(source))
    except SettingsError as error:
        sys.stderr.write(f'wasabiturn: {error}\n')
        return EXIT_USAGE_ERROR
    if arguments[0] == 'control' and platform.data_folder is None:
        wait_for_stop()
    return _run_program(module_name, platform)


def _run_program(module_name: str, platform: PlatformSettings) -> int:
    daemon = importlib.import_module('wasabiturn.process.daemon')
    create_program = importlib.import_module(module_name).create_program
    exit_status: int = daemon.run_daemon(
        create_settings(platform),
        [lambda context: create_program(context, platform)],
    )
    return exit_status


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
