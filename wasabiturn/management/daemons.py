"""``wasabiturn control``, ``entry`` and ``agent``: run one daemon."""

from pathlib import Path

import typer

from wasabiturn.management.check_settings import (
    EXIT_INVALID_SETTINGS,
    load_or_exit,
)
from wasabiturn.process.agent.program import create_agent
from wasabiturn.process.control.program import create_control
from wasabiturn.process.daemon import ComponentFactory, run_daemon
from wasabiturn.process.entry.program import create_entry


def control(settings_file: Path) -> None:
    """Run a control instance with the settings in SETTINGS_FILE."""
    _run(settings_file, 'control', create_control)


def entry(settings_file: Path) -> None:
    """Run an entry instance with the settings in SETTINGS_FILE."""
    _run(settings_file, 'entry', create_entry)


def agent(settings_file: Path) -> None:
    """Run the agent of one instance with the settings in SETTINGS_FILE."""
    _run(settings_file, 'agent', create_agent)


def _run(settings_file: Path, section: str, factory: ComponentFactory) -> None:
    settings = load_or_exit(settings_file)
    if getattr(settings, section) is None:
        typer.echo(f'{settings_file}: section [{section}] is missing', err=True)
        raise typer.Exit(EXIT_INVALID_SETTINGS)
    raise typer.Exit(run_daemon(settings, [factory]))
