"""The platform's programs, started on loopback addresses with low limits."""

import json
import secrets
import socket
import time
from pathlib import Path

import attrs

from benchmarks.platform_soak import settings as soak_settings
from benchmarks.soak.programs import Program, measure_folder

PORTS = soak_settings.Ports(15300)
GROUP_SIZE = 3
ENTRY_NUMBER = 9
AGENT_NUMBER = 10
# Instances of a small deployment.
ENTRY_MEMORY_MB = 160
AGENT_MEMORY_MB = 128
CONTROL_MEMORY_MB = 384
# 200 descriptors are reserved for files, as on the platform.
MAX_FDS = 600
START_SECONDS = 60.0
CALL_SECONDS = 5.0
ANSWER_SECONDS = 60.0
SETTLE_SECONDS = 60.0
LOOK_SECONDS = 0.5
# A program that uses less processor time between two looks has nothing to do.
BUSY_TICKS = 15
OK = 200
KIB = 1024


@attrs.define(eq=False)
class Running:
    """One program of a test, with what it has used of its instance."""

    program: Program
    address: str
    data_folder: Path | None = None
    peak_descriptors: int = 0
    peak_disk_bytes: int = 0

    @property
    def pid(self) -> int:
        assert self.program.process is not None
        return self.program.process.pid

    def observe(self) -> None:
        """Record how many descriptors are open now."""
        if self.program.is_running():
            count = self.program.count_descriptors()
            self.peak_descriptors = max(self.peak_descriptors, count)
        if self.data_folder is not None:
            used = measure_folder(self.data_folder)
            self.peak_disk_bytes = max(self.peak_disk_bytes, used)

    def settle(self) -> None:
        """Wait until the program has read what was sent to it."""
        until = time.monotonic() + SETTLE_SECONDS
        before = -BUSY_TICKS
        while self.program.is_running() and time.monotonic() < until:
            ticks = self._read_ticks()
            if ticks - before < BUSY_TICKS:
                return
            before = ticks
            self.observe()
            time.sleep(LOOK_SECONDS)

    def _read_ticks(self) -> int:
        """Return the processor time used until now."""
        text = Path(f'/proc/{self.pid}/stat').read_text('utf-8')
        fields = text.rpartition(')')[2].split()
        return int(fields[11]) + int(fields[12])

    def peak_memory_mb(self) -> float:
        """Return the largest resident memory since the start."""
        return self.program.read_peak_memory_mb()


@attrs.define(eq=False)
class Group:
    """A control group, whose network entries and agents join."""

    folder: Path
    network: str
    running: list[Running] = attrs.field(factory=list)

    def start(
        self,
        role: str,
        number: int,
        memory_mb: int,
        has_disk: bool,
        disk_mb: int = soak_settings.DISK_MB,
    ) -> Running:
        """Start a program on the address with the number."""
        address = f'{self.network}.{number}'
        site = soak_settings.Site(
            name=f'{role}-{number}-{len(self.running)}',
            address=address,
            data_centre=soak_settings.DATA_CENTRES[number % 3],
            ports=PORTS,
            link_port=PORTS.first,
            seeds=tuple(
                f'{self.network}.{each}' for each in range(1, GROUP_SIZE + 1)
            ),
            data_folder=self._create_folder(number) if has_disk else None,
            serves_callers=role == 'entry',
            has_worker=role == 'agent',
        )
        path = self.folder / f'{site.name}.yaml'
        soak_settings.write_settings(site, path)
        fields = json.loads(path.read_text('utf-8'))
        fields['limits'].update(
            memory_mb=memory_mb, max_fds=MAX_FDS, disk_mb=disk_mb
        )
        path.write_text(json.dumps(fields), 'utf-8')
        program = Program(
            name=site.name,
            arguments=('-m', 'wasabiturn.platform', role),
            output=self.folder / f'{site.name}.log',
            environment={'WASABITURN_SETTINGS': str(path)},
        )
        program.start()
        running = Running(program, address, site.data_folder)
        self.running.append(running)
        return running

    def kill(self) -> None:
        """End the programs, each by its process id."""
        for running in self.running:
            running.program.kill()

    def _create_folder(self, number: int) -> Path:
        folder = self.folder / f'disk-{number}'
        folder.mkdir()
        return folder


def start_group(
    folder: Path,
    memory_mb: int = CONTROL_MEMORY_MB,
    disk_mb: int = soak_settings.DISK_MB,
) -> Group:
    """Start the control members."""
    octets = secrets.token_bytes(2)
    group = Group(folder, f'127.{octets[0] % 200 + 20}.{octets[1]}')
    for number in range(1, GROUP_SIZE + 1):
        group.start(
            'control',
            number,
            memory_mb=memory_mb,
            has_disk=True,
            disk_mb=disk_mb,
        )
    return group


def send_request(
    address: str, port: int, request: bytes, seconds: float = CALL_SECONDS
) -> int | None:
    """Return the status of the response, or none if there is none."""
    try:
        with socket.create_connection((address, port), seconds) as client:
            client.settimeout(seconds)
            client.sendall(request)
            return read_status(client)
    except OSError:
        return None


def read_status(client: socket.socket) -> int | None:
    received = b''
    while b'\r\n\r\n' not in received:
        part = client.recv(KIB)
        if not part:
            return None
        received += part
    return int(received.split()[1])


def encode_post(path: str, body: bytes, host: str = 'operator') -> bytes:
    head = (
        f'POST {path} HTTP/1.1\r\nHost: {host}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


def send_until_ok(address: str, port: int, request: bytes) -> None:
    """Send a request until it succeeds; fail if it does not in time."""
    status: int | None = None
    until = time.monotonic() + ANSWER_SECONDS
    while time.monotonic() < until:
        status = send_request(address, port, request)
        if status == OK:
            return
        time.sleep(0.1)
    raise AssertionError(f'no success at {address}:{port}, last {status}')


def wait_for_port(running: Running, port: int) -> None:
    until = time.monotonic() + START_SECONDS
    while time.monotonic() < until:
        try:
            socket.create_connection((running.address, port), 1).close()
        except OSError:
            time.sleep(0.05)
        else:
            return
    raise AssertionError(f'{running.program.name} does not listen at {port}')
