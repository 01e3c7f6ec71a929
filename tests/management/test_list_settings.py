"""Test that the settings reference matches the program."""

from pathlib import Path

from typer.testing import CliRunner

from wasabiturn.management.cli import app


def test_settings_page_matches_the_command() -> None:
    printed = CliRunner().invoke(app, ['list-settings']).stdout
    page = Path('docs/reference/settings.md').read_text(encoding='utf-8')
    assert page.endswith(printed)
