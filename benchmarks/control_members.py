"""Run control processes and sessions for benchmarks of the state."""

import os
import subprocess
import sys
from contextlib import ExitStack
from pathlib import Path
from random import Random
from typing import Any

from twisted.internet import reactor as default_reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.endpoint import Endpoint
from wasabiturn.messages.kinds import Kind, Role
from wasabiturn.messages.link import Hello
from wasabiturn.messages.session import AgentRecord
from wasabiturn.process.session import ControlSession, create_control_session

HOST = '127.0.0.1'
FIRST_PORT = 17501
FIRST_API_PORT = 17511
MEMBERS = 3
TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')

reactor: Any = default_reactor


class Members:
    """Control processes, started and killed by number."""

    def __init__(self, folder: Path, stack: ExitStack) -> None:
        self.folder = folder
        self.processes: list[subprocess.Popen[bytes]] = []
        stack.callback(self.stop)
        for number in range(MEMBERS):
            self._write_settings(number)
            self.processes.append(self._spawn(number))

    def start(self, number: int) -> None:
        """Start a killed member again."""
        self.processes[number] = self._spawn(number)

    def kill(self, number: int) -> None:
        """Kill a member and wait for its exit."""
        self.processes[number].kill()
        self.processes[number].wait()

    def stop(self) -> None:
        """Kill all members."""
        for process in self.processes:
            process.kill()
            process.wait()

    def cpu_seconds(self) -> list[float]:
        """Return the CPU time in seconds that each member has used."""
        return [read_cpu(process.pid) for process in self.processes]

    def memory_kb(self) -> list[int]:
        """Return the resident memory of each member in KB."""
        return [read_memory(process.pid) for process in self.processes]

    def _spawn(self, number: int) -> 'subprocess.Popen[bytes]':
        settings = self.folder / f'control-{number}.ini'
        return subprocess.Popen(
            [sys.executable, '-m', 'wasabiturn', 'control', settings],
        )

    def _write_settings(self, number: int) -> None:
        names = ', '.join(
            f'control-{member}@{HOST}:{FIRST_PORT + member}'
            for member in range(MEMBERS)
        )
        settings = self.folder / f'control-{number}.ini'
        settings.write_text(
            f'[instance]\nname = control-{number}\ndata_centre = dc-a\n'
            f'[control]\nlisten = {HOST}:{FIRST_PORT + number}\n'
            f'api_listen = {HOST}:{FIRST_API_PORT + number}\n'
            f'members = {names}\n'
            f'data_folder = {self.folder}/data-{number}\n'
            f'[logging]\nfile = {self.folder}/log-{number}\n',
        )


def read_cpu(pid: int) -> float:
    """Return the CPU time in seconds that a process has used."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def read_memory(pid: int) -> int:
    """Return the resident memory of a process in KB."""
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1])
    return 0


def pause(seconds: float) -> Deferred[None]:
    """Return a deferred that fires after ``seconds``."""
    return deferLater(reactor, seconds, lambda: None)


def create_session(number: int, directory: bool) -> ControlSession:
    """Start a session like that of an entry, or of an agent.

    An entry follows the directory; an agent announces itself instead.
    """
    name = f'session-{number}'
    hello = Hello(name=name, role=Role.agent, protocol_version=1)
    session = create_control_session(
        endpoints=[
            Endpoint(HOST, FIRST_PORT + member) for member in range(MEMBERS)
        ],
        dispatch=Dispatch(hello=hello),
        reactor=reactor,
        random=Random(number),
        kinds=(Kind.service, Kind.data_centre, Kind.configuration),
        directory=directory,
    )
    session.start()
    if not directory:
        session.announce(AgentRecord(name=name, incarnation='i', sequence=1))
    return session
