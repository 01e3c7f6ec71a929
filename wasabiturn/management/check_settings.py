"""``wasabiturn check-settings``: validate a settings file."""

from pathlib import Path

import typer

from wasabiturn.conf.reader import read_settings
from wasabiturn.conf.sections import Settings
from wasabiturn.exceptions import SettingsError

EXIT_INVALID_SETTINGS = 2


def check_settings(settings_file: Path) -> None:
    """Check SETTINGS_FILE and report each invalid key; start nothing."""
    load_or_exit(settings_file)
    typer.echo(f'{settings_file}: the settings are valid')


def load_or_exit(settings_file: Path) -> Settings:
    """Return the validated settings, or print the errors and exit with 2."""
    try:
        return read_settings(settings_file)
    except SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_INVALID_SETTINGS) from error
