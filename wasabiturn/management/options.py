"""Options that the commands of the API share."""

import enum
from typing import Annotated, final

import typer

from wasabiturn.management.http_client import DEFAULT_TIMEOUT_SECONDS


@final
class Output(enum.Enum):
    """Form of what a command prints."""

    table = 'table'
    json = 'json'


ServerOption = Annotated[
    str,
    typer.Option(
        '--server',
        envvar='WASABITURN_SERVER',
        help='API of entries or control, ip:port, separated by commas.',
    ),
]
TimeoutOption = Annotated[
    float,
    typer.Option('--timeout', help='Seconds to try for.', min=1),
]
OutputOption = Annotated[
    Output,
    typer.Option('--output', '-o', help='Form of what is printed.'),
]
DEFAULT_SERVER = '127.0.0.1:7111'
DEFAULT_TIMEOUT = DEFAULT_TIMEOUT_SECONDS
DEFAULT_OUTPUT = Output.table
TOKEN_VARIABLE = 'WASABITURN_TOKEN'
