"""The ``wasabiturn`` program: registers its commands."""

import typer

from wasabiturn.management import (
    apply,
    cancel,
    check_settings,
    data_centres,
    delete,
    explain,
    get,
    list_settings,
    local,
    status,
    watch,
)
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
app.command('get')(get.get)
app.command('apply')(apply.apply)
app.command('delete')(delete.delete)
app.command('watch')(watch.watch)
app.command('take-out')(data_centres.take_out)
app.command('bring-back')(data_centres.bring_back)
app.command('cancel')(cancel.cancel)
app.command('status')(status.status)
app.command('explain')(explain.explain)
app.command('local')(local.local)


def main() -> None:
    """Run the command line."""
    app()
