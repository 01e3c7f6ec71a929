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

ResourceDict = dict[str, Any]


def apply(
    resource_file: Annotated[
        Path,
        typer.Argument(help='JSON file, or - for standard input.'),
    ],
    server: ServerOption = DEFAULT_SERVER,
    timeout: TimeoutOption = DEFAULT_TIMEOUT,
    output: OutputOption = DEFAULT_OUTPUT,
) -> None:
    """Create or replace each resource in RESOURCE_FILE, in order.

    Stops at the first resource that the API refuses. The file contains one
    resource, a list of them, or the output of `get --output json`. A resource
    with a revision is written only if the stored revision is the same.
    """
    resources = _read_resources(resource_file)

    def write(client: ApiClient) -> Deferred[Any]:
        return _write_all(client, resources)

    print_resources(run_command(server, timeout, write), output)


def parse_resources(text: str) -> list[ResourceDict]:
    """Return the resources in ``text``, a sequence of JSON values.

    Raises:
        ValueError: the text is not valid JSON, or a resource has no kind or
            no name. The message gives the line or the resource's number.
    """
    decoder = json.JSONDecoder()
    resources: list[ResourceDict] = []
    position = _skip_whitespace(text, 0)
    while position < len(text):
        parsed, position = decoder.raw_decode(text, position)
        resources.extend(_extract_resources(parsed))
        position = _skip_whitespace(text, position)
    for number, resource in enumerate(resources, start=1):
        if not _has_kind_and_name(resource):
            raise ValueError(f'resource {number} has no kind or no name')
    return resources


def _read_resources(resource_file: Path) -> list[ResourceDict]:
    try:
        if str(resource_file) == '-':
            return parse_resources(sys.stdin.read())
        return parse_resources(resource_file.read_text(encoding='utf-8'))
    except (OSError, ValueError) as error:
        typer.echo(f'{resource_file}: {error}', err=True)
        raise typer.Exit(ExitCode.usage) from error


def _write_all(
    client: ApiClient,
    resources: list[ResourceDict],
) -> Deferred[Any]:
    written: list[ResourceDict] = []
    done: Deferred[Any] = succeed(None)
    for resource in resources:
        done.addCallback(_write, client, resource, written)
    return done.addCallback(lambda _: written)


def _write(
    _: Any,
    client: ApiClient,
    resource: ResourceDict,
    written: list[ResourceDict],
) -> Deferred[None]:
    kind = resource['kind']
    name = resource['name']
    return client.write(
        'PUT',
        f'/v1/{kind}/{name}',
        resource,
        resource.get('revision'),
    ).addCallback(written.append)


def _extract_resources(parsed: Any) -> list[Any]:
    if isinstance(parsed, list):
        return parsed
    if isinstance(parsed, dict) and 'items' in parsed:
        return list(parsed['items'])
    return [parsed]


def _has_kind_and_name(resource: Any) -> bool:
    if not isinstance(resource, dict):
        return False
    return all(isinstance(resource.get(key), str) for key in ('kind', 'name'))


def _skip_whitespace(text: str, position: int) -> int:
    rest = text[position:]
    return len(text) - len(rest.lstrip())
