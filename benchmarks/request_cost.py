"""Processor time that an entry takes for an ordinary request of a caller.

Run ``python -m benchmarks.request_cost --baseline FOLDER`` to compare with the
checkout in ``FOLDER``. An entry of each checkout joins one control group, and
both get the same requests in turn, so that what else runs affects both alike.
"""

import json
import socket
import statistics
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path
from random import SystemRandom
from typing import Annotated, final

import attrs
import typer

from benchmarks.platform_soak.settings import (
    DATA_CENTRES,
    HOST,
    PREFIX,
    Ports,
    Site,
    create_routing,
    write_settings,
)
from benchmarks.soak.programs import Program

PORTS = Ports(15700)
MEMBERS = 3
FIRST_ENTRY = 8
REQUESTS = 300
START_SECONDS = 60.0
CALL_SECONDS = 5.0
LOOK_SECONDS = 0.2
RECEIVE_BYTES = 65_536
NS_PER_US = 1000
PERCENT = 100
_SYSTEM_RANDOM = SystemRandom()


@final
@attrs.frozen(eq=False)
class Entry:
    """An entry of one checkout."""

    label: str
    address: str
    program: Program

    def read_cpu_ns(self) -> int:
        """Return the processor time that the process has used."""
        assert self.program.process is not None
        pid = self.program.process.pid
        text = Path(f'/proc/{pid}/schedstat').read_text('utf-8')
        return int(text.split()[0])

    def measure(self, requests: int) -> float:
        """Return the microseconds of processor time for each request."""
        before = self.read_cpu_ns()
        with socket.create_connection(
            (self.address, PORTS.callers), CALL_SECONDS
        ) as client:
            for _ in range(requests):
                client.sendall(_REQUEST)
                _receive(client)
        return (self.read_cpu_ns() - before) / requests / NS_PER_US


def main(
    baseline: Annotated[Path, typer.Option(help='Checkout to compare with.')],
    rounds: Annotated[int, typer.Option(help='Rounds of each entry.')] = 40,
) -> None:
    """Print the processor time of a request at both checkouts."""
    folder = Path(tempfile.mkdtemp(prefix='request-cost-'))
    network = f'127.{_SYSTEM_RANDOM.randint(20, 220)}.7'
    checkouts = {'baseline': baseline.resolve(), 'present': Path.cwd()}
    members = [
        _start(folder, 'control', network, number, Path.cwd())
        for number in range(1, MEMBERS + 1)
    ]
    entries = [
        Entry(
            label,
            f'{network}.{number}',
            _start(folder, 'entry', network, number, checkout),
        )
        for number, (label, checkout) in enumerate(
            checkouts.items(), FIRST_ENTRY
        )
    ]
    with ExitStack() as stack:
        for program in (*members, *(each.program for each in entries)):
            stack.callback(program.kill)
        print(json.dumps(_compare(entries, rounds), indent=1))


def _compare(entries: list[Entry], rounds: int) -> dict[str, float]:
    for entry in entries:
        _configure(entry)
        entry.measure(REQUESTS)
    costs: dict[str, list[float]] = {each.label: [] for each in entries}
    for _ in range(rounds):
        for entry in entries:
            costs[entry.label].append(entry.measure(REQUESTS))
    summary: dict[str, float] = {'rounds': rounds}
    # What else the machine does only adds to a cost.
    for name, choose in (('least', min), ('median', statistics.median)):
        chosen = {label: choose(each) for label, each in costs.items()}
        for label, cost in chosen.items():
            summary[f'{name} {label} us'] = round(cost, 1)
        change = chosen['present'] / chosen['baseline'] - 1
        summary[f'{name} change percent'] = round(change * PERCENT, 2)
    return summary


def _start(
    folder: Path, role: str, network: str, number: int, checkout: Path
) -> Program:
    has_disk = role == 'control'
    data_folder = folder / f'disk-{number}'
    data_folder.mkdir()
    site = Site(
        name=f'{role}-{number}',
        address=f'{network}.{number}',
        data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
        ports=PORTS,
        link_port=PORTS.first,
        seeds=tuple(f'{network}.{each}' for each in range(1, MEMBERS + 1)),
        data_folder=data_folder if has_disk else None,
        serves_callers=not has_disk,
    )
    settings = folder / f'{site.name}.yaml'
    write_settings(site, settings)
    program = Program(
        name=site.name,
        arguments=('-m', 'wasabiturn.platform', role),
        output=folder / f'{site.name}.log',
        environment={
            'WASABITURN_SETTINGS': str(settings),
            'PYTHONPATH': str(checkout),
        },
    )
    program.start()
    return program


def _configure(entry: Entry) -> None:
    body = json.dumps(create_routing(1)).encode()
    head = (
        'POST /api/Config.Put HTTP/1.1\r\nHost: operator\r\n'
        f'Content-Length: {len(body)}\r\nConnection: close\r\n\r\n'
    )
    until = time.monotonic() + START_SECONDS
    while time.monotonic() < until:
        try:
            with socket.create_connection(
                (entry.address, PORTS.control), CALL_SECONDS
            ) as client:
                client.sendall(head.encode() + body)
                if b' 200 ' in client.recv(RECEIVE_BYTES):
                    return
        except OSError:
            time.sleep(LOOK_SECONDS)
        time.sleep(LOOK_SECONDS)
    raise RuntimeError(f'{entry.label} does not accept a configuration')


def _receive(client: socket.socket) -> None:
    received = client.recv(RECEIVE_BYTES)
    if not received.startswith(b'HTTP/1.1 '):
        raise RuntimeError(f'no response: {received!r}')


_REQUEST = (
    f'GET {PREFIX}0123456789abcdef HTTP/1.1\r\nHost: {HOST}\r\n'
    'Content-Type: application/json\r\nWasabiturn-Deadline-Ms: 3000\r\n\r\n'
).encode()


if __name__ == '__main__':
    typer.run(main)
