"""``wasabiturn apply``: create or replace resources from a JSON file."""

import json
import sys
from pathlib import Path
from typing import Annotated, Any

import typer
from twisted.internet.defer import Deferred, succeed

from wasabiturn.management.exit_codes import ExitCode
from wasabiturn.management.http_client import ApiClient
from wasabiturn.management.options import (
    DEFAULT_OUTPUT,
    DEFAULT_SERVER,
    DEFAULT_TIMEOUT,
    OutputOption,
    ServerOption,
    TimeoutOption,
)
from wasabiturn.management.output import print_resources
from wasabiturn.management.running import run_command

Written = dict[str, Any]


def apply(
    resource_file: Annotated[
        Path,
        typer.Argument(help='JSON file, or - for standard input.'),
    ],
    server: ServerOption = DEFAULT_SERVER,
    timeout: TimeoutOption = DEFAULT_TIMEOUT,
    output: OutputOption = DEFAULT_OUTPUT,
) -> None:
    """Write each resource in RESOURCE_FILE, in order, until one is refused.

    The file holds one resource, a list, or what `get --output json` printed.
    A resource with a revision is written only if that is still its revision.
    """
    resources = _read_resources(resource_file)

    def write(client: ApiClient) -> Deferred[Any]:
        return _write_all(client, resources)

    print_resources(run_command(server, timeout, write), output)


def parse_resources(text: str) -> list[Written]:
    """Return the resources in ``text``: JSON values one after another.

    Raises:
        ValueError: names the line, or the resource without kind or name.
    """
    decoder = json.JSONDecoder()
    resources: list[Written] = []
    place = _skip_space(text, 0)
    while place < len(text):
        parsed, place = decoder.raw_decode(text, place)
        resources.extend(_flatten(parsed))
        place = _skip_space(text, place)
    for number, resource in enumerate(resources, start=1):
        if not _is_named(resource):
            raise ValueError(f'resource {number}: kind and name are expected')
    return resources


def _read_resources(resource_file: Path) -> list[Written]:
    try:
        if str(resource_file) == '-':
            return parse_resources(sys.stdin.read())
        return parse_resources(resource_file.read_text(encoding='utf-8'))
    except (OSError, ValueError) as error:
        typer.echo(f'{resource_file}: {error}', err=True)
        raise typer.Exit(ExitCode.usage) from error


def _write_all(
    client: ApiClient,
    resources: list[Written],
) -> Deferred[Any]:
    written: list[Written] = []
    done: Deferred[Any] = succeed(None)
    for resource in resources:
        done.addCallback(_write, client, resource, written)
    return done.addCallback(lambda _: written)


def _write(
    _: Any,
    client: ApiClient,
    resource: Written,
    written: list[Written],
) -> Deferred[None]:
    kind = resource['kind']
    name = resource['name']
    return client.write(
        'PUT',
        f'/v1/{kind}/{name}',
        resource,
        resource.get('revision'),
    ).addCallback(written.append)


def _flatten(parsed: Any) -> list[Any]:
    if isinstance(parsed, list):
        return parsed
    if isinstance(parsed, dict) and 'items' in parsed:
        return list(parsed['items'])
    return [parsed]


def _is_named(resource: Any) -> bool:
    if not isinstance(resource, dict):
        return False
    return all(isinstance(resource.get(key), str) for key in ('kind', 'name'))


def _skip_space(text: str, place: int) -> int:
    rest = text[place:]
    return len(text) - len(rest.lstrip())
