"""Commands in the docs against the command line that they call."""

import re
import shlex
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import typer.main

from wasabiturn.management.cli import app

PAGES = sorted([*Path('docs').glob('**/*.md'), Path('README.md')])
COMMAND = re.compile(r'^ *(?:\$ )?(?:\.venv/bin/)?wasabiturn (?P<words>.+)$')


def find_commands(page: Path) -> Iterator[str]:
    """Yield the words of each command in an indented or fenced block."""
    for line in page.read_text(encoding='utf-8').splitlines():
        found = COMMAND.match(line)
        if found and line.startswith((' ', '$')):
            yield found.group('words').partition('  #')[0].rstrip(' &')


def list_all() -> list[Any]:
    return [
        pytest.param(command, id=f'{page}: {command}')
        for page in PAGES
        for command in find_commands(page)
    ]


@pytest.mark.parametrize('command', list_all())
def test_command_is_accepted(command: str) -> None:
    program: Any = typer.main.get_command(app)
    name, *arguments = shlex.split(command)
    assert name in program.commands
    context = program.commands[name].make_context(name, arguments)
    assert context.info_name == name


def test_pages_hold_commands() -> None:
    assert len(list_all()) > 1


@pytest.mark.parametrize('page', PAGES, ids=str)
def test_links_lead_to_files(page: Path) -> None:
    text = page.read_text(encoding='utf-8')
    for target in re.findall(r'\]\(([^)#]+\.md)\)', text):
        assert (page.parent / target).exists(), target
    for target in re.findall(r'`(docs/[^`*]+\.md)`', text):
        assert Path(target).exists(), target
