"""The ``wasabiturn`` program: registers the commands."""

import typer

from wasabiturn.management import check_settings, list_settings
from wasabiturn.management.daemons import agent, control, entry

app = typer.Typer(
    name='wasabiturn',
    help='Place services and batch tasks on the same instances.',
    no_args_is_help=True,
)
app.command('control')(control)
app.command('entry')(entry)
app.command('agent')(agent)
app.command('check-settings')(check_settings.check_settings)
app.command('list-settings')(list_settings.list_settings)


def main() -> None:
    """Run the command line."""
    app()
