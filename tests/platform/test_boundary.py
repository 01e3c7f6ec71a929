"""No module outside the adapter uses the platform's names."""

import ast
import re
from pathlib import Path

import pytest

PACKAGE = Path('wasabiturn')
ADAPTER = PACKAGE / 'platform'
PLATFORM_NAMES = (
    '/api/[A-Za-z]',
    'Config.Put',
    'Drain.Begin',
    'run-start',
    'run-stop',
    'Expect-Instance',
    'acked_upto',
    'until_ms[\'"]',
    'mem_mb',
    'est_ms',
    'goal_ms[\'"]',
    'slo_ms',
    'max_per_server',
    'long_running',
    'checkpoint_data',
    'affinity',
    'seed_lag_s',
    'WASABITURN_SETTINGS',
)


def list_outside_modules() -> list[Path]:
    return [
        path for path in PACKAGE.rglob('*.py') if ADAPTER not in path.parents
    ]


@pytest.mark.parametrize('name', PLATFORM_NAMES)
def test_no_module_outside_uses_a_platform_name(name: str) -> None:
    users = [
        str(path)
        for path in list_outside_modules()
        if re.search(name, path.read_text(encoding='utf-8'))
    ]
    assert not users


def test_no_module_outside_imports_the_adapter() -> None:
    importers = []
    for path in list_outside_modules():
        for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
            module = getattr(node, 'module', None) or ''
            names = [alias.name for alias in getattr(node, 'names', ())]
            imported = [module, *map(str, names)]
            if any(each.startswith('wasabiturn.platform') for each in imported):
                importers.append(str(path))
    assert not importers
