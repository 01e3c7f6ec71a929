"""``wasabiturn check-settings``: check a settings file without starting."""

from pathlib import Path

import typer

from wasabiturn.conf import Settings, read_settings
from wasabiturn.exceptions import SettingsError

EXIT_WRONG_SETTINGS = 2


def check_settings(settings_file: Path) -> None:
    """Check SETTINGS_FILE and report each wrong key."""
    load_or_exit(settings_file)
    typer.echo(f'{settings_file}: settings are accepted')


def load_or_exit(settings_file: Path) -> Settings:
    """Return the checked settings, or exit with status 2 and the reasons."""
    try:
        return read_settings(settings_file)
    except SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_WRONG_SETTINGS) from error
