"""Run one command on the Twisted reactor and set the exit status."""

import os
from collections.abc import Callable
from typing import Any

import typer
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.python.failure import Failure as TwistedFailure

from wasabiturn.management.exit_codes import ExitCode
from wasabiturn.management.http_client import ApiClient, ApiError
from wasabiturn.management.http_sender import HttpClientSender
from wasabiturn.management.options import TOKEN_VARIABLE


def run_command(
    server: str,
    timeout_seconds: float,
    command: Callable[[ApiClient], Deferred[Any]],
) -> Any:
    """Run ``command`` with a client until its Deferred fires.

    If it fails with ``ApiError``, prints the error and exits with its
    exit code.
    """
    from twisted.internet import reactor

    loop: Any = reactor
    client = ApiClient(
        servers=split_servers(server),
        token=os.environ.get(TOKEN_VARIABLE, ''),
        timeout_seconds=timeout_seconds,
        sender=HttpClientSender(loop),
        clock=loop,
    )
    results: list[Any] = []

    def start_command() -> None:
        done = maybeDeferred(command, client)
        done.addBoth(results.append)
        done.addBoth(lambda _: loop.stop())

    loop.callWhenRunning(start_command)
    loop.run()
    return _result_or_exit(results)


def split_servers(server: str) -> list[str]:
    """Return the servers of a comma-separated list.

    Raises:
        typer.BadParameter: the list is empty.
    """
    parts = [part.strip() for part in server.split(',')]
    servers = [
        part.removeprefix('http://').rstrip('/') for part in parts if part
    ]
    if not servers:
        raise typer.BadParameter(
            'expected at least one ip:port', param_hint='--server'
        )
    return servers


def _result_or_exit(results: list[Any]) -> Any:
    if not results:
        raise typer.Exit(ExitCode.unknown)
    outcome = results[0]
    if not isinstance(outcome, TwistedFailure):
        return outcome
    error: Any = outcome.value
    if isinstance(error, ApiError):
        typer.echo(f'wasabiturn: {error}', err=True)
        raise typer.Exit(error.exit_code)
    raise error
