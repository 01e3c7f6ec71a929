"""``wasabiturn local``: run a complete deployment in one process."""

from pathlib import Path
from typing import Annotated

import typer

from wasabiturn.management.local_demonstration import create_demonstration
from wasabiturn.process.daemon import run_daemon
from wasabiturn.process.local import LocalPorts, create_programs
from wasabiturn.process.local.programs import create_settings

DEFAULT_FOLDER = Path('data/local')
DEFAULT_FIRST_PORT = 7108
MAX_FIRST_PORT = 65000


def local(
    folder: Annotated[
        Path,
        typer.Option(help='Folder for the state and the log.'),
    ] = DEFAULT_FOLDER,
    first_port: Annotated[
        int,
        typer.Option(
            help='First of eight consecutive ports.', min=1, max=MAX_FIRST_PORT
        ),
    ] = DEFAULT_FIRST_PORT,
    once: Annotated[
        bool,
        typer.Option('--once', help='Stop after the demonstration.'),
    ] = False,
) -> None:
    """Run control, entry, agent and stand-ins in one process.

    Serves one request and runs one batch task as a demonstration, prints the
    results, and runs until Ctrl-C.
    """
    ports = LocalPorts(first=first_port)
    demonstration = create_demonstration(ports, stop_when_done=once)
    programs = [*create_programs(ports), demonstration]
    raise typer.Exit(run_daemon(create_settings(folder, ports), programs))
