"""Each program imports only what it runs."""

import subprocess
import sys

import pytest

from wasabiturn.platform.__main__ import MODULES_BY_PROGRAM

COMMON_STRANGERS = (
    'rich',
    'typer',
    'twisted.web.server',
    'wasabiturn.management',
    'wasabiturn.messages.session',
    'wasabiturn.process.control.api',
    'wasabiturn.process.control.scheduler',
    'wasabiturn.request',
    'wasabiturn.standins',
    'wasabiturn.version.placement',
)
STATE_MODULES = (
    'wasabiturn.batch',
    'wasabiturn.messages.raft',
    'wasabiturn.messages.state',
    'wasabiturn.process.control',
    'wasabiturn.version',
)
STRANGERS_BY_PROGRAM = {
    'agent': (*STATE_MODULES, 'wasabiturn.process.entry'),
    'entry': (*STATE_MODULES, 'wasabiturn.process.agent'),
    'control': ('wasabiturn.process.agent', 'wasabiturn.process.entry'),
}


def list_imports(program: str) -> list[str]:
    script = (
        f'import sys; import {MODULES_BY_PROGRAM[program]}; '
        'import wasabiturn.platform.__main__; print(*sys.modules)'
    )
    completed = subprocess.run(
        [sys.executable, '-c', script],
        capture_output=True,
        text=True,
        check=True,
    )
    return completed.stdout.split()


@pytest.mark.parametrize('program', sorted(MODULES_BY_PROGRAM))
def test_a_program_imports_no_other_program(program: str) -> None:
    strangers = COMMON_STRANGERS + STRANGERS_BY_PROGRAM[program]
    imported = [
        module
        for module in list_imports(program)
        if any(f'{module}.'.startswith(f'{each}.') for each in strangers)
    ]
    assert not imported
