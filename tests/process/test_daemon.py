"""Signals that reach a daemon before its event loop runs."""

import subprocess
import sys
from pathlib import Path

from tests.platform.test_settings import TEXT, write_settings

TIMEOUT_SECONDS = 30
# Each script sends SIGHUP to itself at a point of the start, then ends.
SCRIPT_OF_A_DAEMON = """
import os, pathlib, signal, sys
from wasabiturn.exceptions import ProcessError
from wasabiturn.process.daemon import run_daemon
from wasabiturn.process.local import LocalPorts
from wasabiturn.process.local.programs import create_settings

def create(context):
    os.kill(os.getpid(), signal.SIGHUP)
    raise ProcessError('ends here')

folder = pathlib.Path(sys.argv[1])
sys.exit(run_daemon(create_settings(folder, LocalPorts(first=7108)), [create]))
"""
SCRIPT_OF_A_PROGRAM = """
import importlib, os, signal, sys
from wasabiturn.platform import __main__ as program

def load(name):
    os.kill(os.getpid(), signal.SIGHUP)
    sys.exit(3)

os.environ[program.SETTINGS_VARIABLE] = sys.argv[1]
importlib.import_module = load
program.main(['agent'])
"""


def run_script(script: str, argument: Path) -> int:
    """Return the exit status, which is negative if a signal ended it."""
    return subprocess.run(
        [sys.executable, '-c', script, str(argument)],
        capture_output=True,
        check=False,
        timeout=TIMEOUT_SECONDS,
    ).returncode


def test_reload_signal_does_not_end_a_daemon_that_starts(
    tmp_path: Path,
) -> None:
    assert run_script(SCRIPT_OF_A_DAEMON, tmp_path) == 1


def test_reload_signal_does_not_end_a_program_that_is_imported(
    tmp_path: Path,
) -> None:
    settings = write_settings(tmp_path, TEXT)
    assert run_script(SCRIPT_OF_A_PROGRAM, settings) == 3
