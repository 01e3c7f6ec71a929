"""Run three control processes for a benchmark, and connect to each."""

import shutil
import socket
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from random import Random
from typing import Any, final

import attrs
from twisted.internet.defer import Deferred, ensureDeferred, fail
from twisted.internet.task import deferLater

from benchmarks.soak.programs import Program
from wasabiturn.connection.calls import CallError
from wasabiturn.connection.dialer import Dialer
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.endpoint import Endpoint
from wasabiturn.connection.link import PROTOCOL_VERSION
from wasabiturn.messages.kinds import FailureCode, Kind, Method, Role
from wasabiturn.messages.link import Hello
from wasabiturn.messages.session import Submit
from wasabiturn.messages.state import (
    Command,
    ConfigurationSpec,
    Outcome,
    PutResource,
    Resource,
)
from wasabiturn.utils.clock import use_boot_clock

MEMBER_NAMES = ('control-1', 'control-2', 'control-3')
SUBMIT_TIMEOUT_SECONDS = 0.5
TICKS_PER_SECOND = 100
SETTINGS = """
[instance]
name = {name}
data_centre = dc-{number}

[control]
listen = {listen}
api_listen = {api}
members = {members}
data_folder = {folder}
snapshot_entries = {snapshot_entries}

[logging]
file = {folder}.log
level = event
"""


@final
@attrs.define(eq=False)
class ControlGroup:
    """Control processes with one link to each of them."""

    reactor: Any
    folder: Path
    programs_by_name: dict[str, Program]
    dialers_by_name: dict[str, Dialer]

    def start(self) -> None:
        """Start all processes and connect to them."""
        for program in self.programs_by_name.values():
            program.start()
        for dialer in self.dialers_by_name.values():
            dialer.start()

    def stop(self) -> None:
        """Kill the processes and remove their files."""
        for dialer in self.dialers_by_name.values():
            dialer.stop()
        for program in self.programs_by_name.values():
            program.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    def submit(
        self,
        name: str,
        command: Command,
        timeout_seconds: float = SUBMIT_TIMEOUT_SECONDS,
    ) -> Deferred[Outcome]:
        """Submit a command to the named member."""
        link = self.dialers_by_name[name].link
        if link is None:
            return fail(CallError(FailureCode.closed, 'no link'))
        message = Submit(command=command)
        return link.call(Method.submit, message, Outcome, timeout_seconds)

    async def find_leader(self, excluded: str = '') -> str:
        """Return the name of the first member that commits a write."""
        while True:
            for name in MEMBER_NAMES:
                if name != excluded and await self._can_commit(name):
                    return name
            await sleep(self.reactor, 0.005)

    def cpu_seconds(self) -> dict[str, float]:
        """Return the CPU time in seconds that each process has used."""
        return {
            name: _cpu_seconds(program)
            for name, program in self.programs_by_name.items()
        }

    def resident_mb(self) -> dict[str, float]:
        """Return the resident memory of each process in MB."""
        return {
            name: _resident_mb(program)
            for name, program in self.programs_by_name.items()
        }

    async def _can_commit(self, name: str) -> bool:
        try:
            await self.submit(name, put_command('probe'))
        except CallError:
            return False
        return True


def put_command(name: str) -> Command:
    """Return a command of about 150 bytes that writes a configuration."""
    resource = Resource(
        kind=Kind.configuration,
        name=name,
        team='operations',
        configuration_spec=ConfigurationSpec(
            settings={'retry_budget': '0.1', 'written_at': str(time.time())},
        ),
    )
    return Command(put=PutResource(resource=resource, expected_revision=-1))


def sleep(reactor: Any, seconds: float) -> Deferred[None]:
    """Return a deferred that fires after ``seconds``."""
    return deferLater(reactor, seconds, lambda: None)


def run_benchmark(
    main: Callable[[ControlGroup], Any],
    module: tuple[str, ...] = ('-m', 'wasabiturn'),
    snapshot_entries: int = 10_000,
) -> None:
    """Run ``main`` with a new group, which is stopped afterwards."""
    from twisted.internet import reactor

    use_boot_clock(reactor)
    errors: list[Any] = []

    async def run() -> None:
        with _open_group(reactor, module, snapshot_entries) as group:
            await main(group)

    def begin() -> None:
        done = ensureDeferred(run())
        done.addErrback(errors.append)
        done.addBoth(lambda _: reactor.stop())  # type: ignore[attr-defined]

    reactor.callWhenRunning(begin)  # type: ignore[attr-defined]
    reactor.run()  # type: ignore[attr-defined]
    if errors:
        errors[0].raiseException()


@contextmanager
def _open_group(
    reactor: Any,
    module: tuple[str, ...],
    snapshot_entries: int,
) -> Iterator[ControlGroup]:
    group = _create_group(reactor, module, snapshot_entries)
    with ExitStack() as stack:
        stack.callback(group.stop)
        group.start()
        yield group


def _create_group(
    reactor: Any,
    module: tuple[str, ...],
    snapshot_entries: int,
) -> ControlGroup:
    folder = Path(tempfile.mkdtemp(prefix='control-group-'))
    endpoint_by_name = {name: _find_free_endpoint() for name in MEMBER_NAMES}
    members = ', '.join(f'{n}@{e}' for n, e in endpoint_by_name.items())
    dispatch = Dispatch(
        hello=Hello(
            name='benchmark',
            role=Role.entry,
            protocol_version=PROTOCOL_VERSION,
        ),
    )
    programs_by_name = {}
    dialers_by_name = {}
    for number, name in enumerate(MEMBER_NAMES, start=1):
        settings = folder / f'{name}.ini'
        settings.write_text(
            SETTINGS.format(
                name=name,
                number=number,
                listen=endpoint_by_name[name],
                api=_find_free_endpoint(),
                members=members,
                folder=folder / name,
                snapshot_entries=snapshot_entries,
            ),
        )
        programs_by_name[name] = Program(
            name=name,
            arguments=(*module, 'control', str(settings)),
            output=folder / f'{name}.out',
        )
        dialers_by_name[name] = Dialer(
            endpoint=endpoint_by_name[name],
            dispatch=dispatch,
            reactor=reactor,
            random=Random(1),
        )
    return ControlGroup(reactor, folder, programs_by_name, dialers_by_name)


def _find_free_endpoint() -> Endpoint:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return Endpoint('127.0.0.1', probe.getsockname()[1])


def _cpu_seconds(program: Program) -> float:
    if program.process is None:
        return 0.0
    fields = Path(f'/proc/{program.process.pid}/stat').read_text().split()
    return (int(fields[13]) + int(fields[14])) / TICKS_PER_SECOND


def _resident_mb(program: Program) -> float:
    if program.process is None:
        return 0.0
    status = Path(f'/proc/{program.process.pid}/status').read_text()
    line = next(x for x in status.splitlines() if x.startswith('VmRSS'))
    return int(line.split()[1]) / 1024
