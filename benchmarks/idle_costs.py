"""Measure what each process of an idle deployment costs.

Runs separate processes with relays between them, and prints the CPU use,
memory, and network bytes per second of each process:
``python -m benchmarks.idle_costs --agents 8``.
"""

import json
from collections import defaultdict
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import typer
from twisted.internet import reactor as default_reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater, react

from benchmarks.soak.fleet import Fleet, FleetSize, create_fleet
from benchmarks.soak.processes import read_usage
from wasabiturn.utils.clock import use_boot_clock

WARM_UP_SECONDS = 15.0


@inlineCallbacks
def measure(reactor: Any, fleet: Fleet, seconds: float, lost: str) -> Any:
    """Return the costs by process name over ``seconds``.

    The programs named in ``lost``, separated by commas, are killed before.
    """
    fleet.start()
    yield deferLater(reactor, WARM_UP_SECONDS, _do_nothing)
    fleet.check_running()
    if lost:
        for program_name in lost.split(','):
            fleet.programs_by_name[program_name].kill()
        yield deferLater(reactor, WARM_UP_SECONDS, _do_nothing)
    before = _read_all(fleet)
    bytes_before = _read_bytes(fleet)
    yield deferLater(reactor, seconds, _do_nothing)
    after = _read_all(fleet)
    bytes_after = _read_bytes(fleet)
    return {
        name: {
            'core_percent': round(
                (after[name].cpu_seconds - before[name].cpu_seconds)
                / seconds
                * 100,
                2,
            ),
            'memory_mb': round(after[name].memory_mb, 1),
            'bytes_per_second': round(
                (bytes_after[name] - bytes_before[name]) / seconds,
            ),
        }
        for name in after
    }


def _read_all(fleet: Fleet) -> dict[str, Any]:
    return {
        name: read_usage(program.process.pid)
        for name, program in fleet.programs_by_name.items()
        if program.process is not None
    }


def _read_bytes(fleet: Fleet) -> dict[str, int]:
    bytes_by_name: dict[str, int] = defaultdict(int)
    for path_name, path in fleet.paths_by_name.items():
        for end in path_name.split('>'):
            bytes_by_name[end] += path.carried_bytes
    return bytes_by_name


def _do_nothing() -> None:
    """Do nothing; the callback that ends a wait."""


def main(
    agents: int = 3,
    controls: int = 3,
    entries: int = 2,
    seconds: float = 20,
    lost: str = '',
) -> None:
    """Measure an idle deployment of the given size."""
    use_boot_clock(default_reactor)
    fleet_size = FleetSize(controls=controls, entries=entries, agents=agents)
    results: list[Any] = []

    def run(reactor: Any, folder: Path) -> Any:
        fleet = create_fleet(folder, fleet_size, reactor)
        done = measure(reactor, fleet, seconds, lost)
        done.addCallback(results.append)

        def end(outcome: Any) -> Any:
            fleet.kill()
            return outcome

        return done.addBoth(end)

    with TemporaryDirectory() as folder:
        try:
            react(run, [Path(folder)])
        except SystemExit as stopped:
            if not results:
                raise typer.Exit(1) from stopped
    for name, costs in sorted(results[0].items()):
        print(json.dumps({'process': name, **costs}))


if __name__ == '__main__':
    typer.run(main)
