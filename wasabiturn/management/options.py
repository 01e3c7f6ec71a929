"""Options shared by the commands that call the API."""

import enum
from typing import Annotated, final

import typer

from wasabiturn.management.http_client import DEFAULT_TIMEOUT_SECONDS


@final
class OutputFormat(enum.Enum):
    """Output format of a command."""

    table = 'table'
    json = 'json'


ServerOption = Annotated[
    str,
    typer.Option(
        '--server',
        envvar='WASABITURN_SERVER',
        help='API addresses of entries or control, ip:port, comma-separated.',
    ),
]
TimeoutOption = Annotated[
    float,
    typer.Option(
        '--timeout', help='Seconds after which the command gives up.', min=1
    ),
]
OutputOption = Annotated[
    OutputFormat,
    typer.Option('--output', '-o', help='Output format.'),
]
DEFAULT_SERVER = '127.0.0.1:7111'
DEFAULT_TIMEOUT = DEFAULT_TIMEOUT_SECONDS
DEFAULT_OUTPUT = OutputFormat.table
TOKEN_VARIABLE = 'WASABITURN_TOKEN'
