"""A small deployment of the project's programs on loopback addresses."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from http_io import call
from worker import Worker

ROOT = Path(__file__).resolve().parents[2]
ZONES = ('zone-a', 'zone-b', 'zone-c')
SERVICE = 'taller'
HOST = 'cola.example'
PREFIX = '/cola/'
LASTING_PREFIX = '/fijo/'
METRICS_PORTS = (9101, 9102, 9103)
BOUNDS = {
    'seed_lag_s': 3,
    'reuse_after_s': 2,
    'contact_ms': 3000,
    'ack_ms': 4000,
    'catch_up_s': 4,
    'drain_ms': 2000,
    'grace_s': 6,
    'loss_slack_ms': 200,
    'config_apply_ms': 2000,
    'rollback_slack_ms': 250,
    'max_skew_ms': 5000,
    'evacuate_ms': 5000,
    'recovery_s': 12,
    'hold_max_ms': 6000,
    'stop_ms': 200,
    'gang_ms': 3000,
    'cancel_ms': 3000,
    'visible_ms': 3000,
    'early_ms': 250,
    'finish_s': 14,
    'status_s': 120,
    'checkpoint_s': 1,
    'restore_ms': 100,
    'notice_ms': 4500,
    'fencing': True,
    'lease_ms': 3000,
    'pace_ms': 100,
}


class Record:
    """Timed events, in memory and in a file."""

    def __init__(self, path):
        """Begin a new record."""
        self.path = path
        self.zero = time.monotonic()
        self.events = []
        path.write_text('')

    def now(self):
        """Return the seconds since the record began."""
        return round(time.monotonic() - self.zero, 3)

    def note(self, what, **fields):
        """Record one event."""
        at = self.now()
        self.events.append((at, what, fields))
        text = ' '.join(f'{name}={each}' for name, each in fields.items())
        with self.path.open('a') as file:
            file.write(f'{at:9.3f} {what} {text}\n')

    def list_events(self, what):
        """Return time and fields of the events of one kind."""
        return [(at, each) for at, kind, each in self.events if kind == what]


class Program:
    """One program of the deploy file on one machine."""

    def __init__(self, role, machine, folder, settings, record):
        """Write its settings; start nothing."""
        self.name = f'{role}@{machine}'
        self.record = record
        self.words = _read_run_words(role)
        self.settings_file = folder / f'{self.name}.yaml'
        self.settings = settings
        self.log = folder / f'{self.name}.log'
        self.process = None
        self.write()

    def write(self):
        """Write the settings file; JSON is YAML."""
        self.settings_file.write_text(json.dumps(self.settings, indent=1))

    def start(self):
        """Start the process."""
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['WASABITURN_SETTINGS'] = str(self.settings_file)
        self.process = subprocess.Popen(
            self.words,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log.open('ab'),
            stderr=subprocess.STDOUT,
        )
        self.record.note('process started', name=self.name)

    def send(self, number):
        """Send a signal to the process."""
        self.record.note(
            'signal', name=self.name, signal=signal.Signals(number).name
        )
        self.process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        self.send(signal.SIGKILL)
        self.process.wait()

    def has_ended(self):
        """Return whether the process has ended."""
        return self.process is None or self.process.poll() is not None


def _read_run_words(role):
    fields = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    return fields['roles'][role]['run'].split(' ')


class Deployment:
    """Three machines with control and entry, and workers with agents."""

    def __init__(self, record, workers=3, worker_settings=None):
        """Create programs and workers; start nothing."""
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix='wasabiturn-'))
        self.network, self.ports = _choose_addresses(workers)
        self.programs = {}
        self.workers = []
        self.version = 0
        for number in range(1, 4):
            for role in ('control', 'entry'):
                self._add(role, number, ZONES[number - 1])
        for number in range(1, workers + 1):
            zone = ZONES[number % 3]
            self._add('agent', 100 + number, zone)
            settings = {
                'service': SERVICE,
                'hold_max_ms': BOUNDS['hold_max_ms'],
                **(worker_settings or {}),
            }
            self.workers.append(
                Worker(
                    settings,
                    record,
                    f'i-{number}',
                    self._address(100 + number),
                    self.ports,
                    zone,
                )
            )

    def _address(self, number):
        return f'{self.network}.{number}'

    def _add(self, role, number, zone):
        address = self._address(number)
        ports = self.ports
        listen = {}
        if role == 'entry':
            listen = {
                'front': f'{address}:{ports["front"]}',
                'ready': f'{address}:{ports["ready"]}',
                'control': f'{address}:{ports["control"]}',
            }
        elif role == 'agent':
            listen = {'control': f'{address}:{ports["control"]}'}
        data_folder = None
        if role != 'agent':
            data_folder = self.folder / f'disk-{number}' / role
            data_folder.mkdir(parents=True)
        settings = {
            'node': f'm-{number}',
            'role': role,
            'machine_class': 'side' if role == 'agent' else 'edge',
            'ip': address,
            'zone': zone,
            'region': 'region',
            'zones': dict.fromkeys(ZONES, 'region'),
            'listen': listen,
            'port_range': [ports['first'], ports['first'] + 7],
            'seeds': [
                f'{self._address(seed)}:{ports["control"]}'
                for seed in range(1, 4)
            ],
            'bootstrap': True,
            'counts_as_loss': role != 'agent',
            'limits': {'memory_mb': 300, 'max_fds': 4096, 'disk_mb': 128},
            'data_dir': data_folder and str(data_folder),
            'heartbeat_ms': 1500,
            'fault_tolerance': {'machines': 1, 'zones': 1, 'regions': 0},
            'bounds': BOUNDS,
            'config_mode': 'highest',
            'orders': 'rpc',
        }
        if role == 'agent':
            settings['app'] = f'{address}:{ports["app"]}'
        name = f'{role}@{number}'
        self.programs[name] = Program(
            role, number, self.folder, settings, self.record
        )

    async def start(self, **queue_fields):
        """Start everything; store the first configuration."""
        for program in self.programs.values():
            program.start()
        for worker in self.workers:
            await worker.start()
        await self.configure(**queue_fields)
        for program in self.programs.values():
            program.settings['bootstrap'] = False
            program.write()

    async def configure(self, seconds=30, **queue_fields):
        """Send the next configuration until it is acknowledged."""
        self.version += 1
        fields = create_configuration(self.version, **queue_fields)
        await self._insist('POST', '/api/Config.Put', fields, seconds)
        self.record.note('configured', version=self.version)

    async def _insist(self, method, path, fields, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for number in random.sample(range(1, 4), 3):
                status, answer = await call(
                    self._address(number),
                    self.ports['control'],
                    method,
                    path,
                    fields,
                    seconds=1,
                )
                if status // 100 == 2:
                    return answer
            await asyncio.sleep(0.2)
        raise CannotRunError(f'{method} {path} was not acknowledged')

    async def ask(self, method, path, fields=None, number=0, seconds=3):
        """Send a client's call to one entry; return status and body."""
        number = number or random.randrange(1, 4)
        return await call(
            self._address(number),
            self.ports['front'],
            method,
            path,
            fields,
            seconds=seconds,
            host=HOST,
        )

    async def submit(self, job, work_ms, steps, prefix=PREFIX, padding=0):
        """Submit a job until it is accepted; ``padding`` lengthens its spec."""
        spec = json.dumps({'ms': work_ms, 'text': 'x' * padding})
        fields = {'spec': spec, 'steps': steps}
        for _ in range(20):
            status, _ = await self.ask('POST', prefix + job, fields)
            self.record.note('job submitted', job=job, status=status)
            if status // 100 == 2:
                return
            await asyncio.sleep(0.3)
        raise CannotRunError('the job was not accepted')

    async def read(self, job, prefix=PREFIX):
        """Return status and state of a job, as one entry tells it."""
        status, answer = await self.ask('GET', prefix + job)
        state = answer.get('state', '')
        self.record.note('job read', job=job, status=status, state=state)
        return status, state

    async def end(self):
        """End all that was started; remove the folder unless KEEP is 1."""
        for worker in self.workers:
            if worker.is_up:
                await worker.crash()
        for program in self.programs.values():
            if not program.has_ended():
                program.kill()
        if os.environ.get('KEEP') != '1':
            shutil.rmtree(self.folder, ignore_errors=True)

    def find_ended(self):
        """Return the programs that have ended by themselves."""
        return [
            name
            for name, program in self.programs.items()
            if program.has_ended()
        ]


class CannotRunError(Exception):
    """The case cannot be run; it says nothing about the rule."""


def create_configuration(version, attempts=4, services=(SERVICE,)):
    """Return a configuration with two queues of one service."""
    return {
        'version': version,
        'routes': [
            _create_queue('cola', PREFIX, 1, attempts),
            _create_queue('fijo', LASTING_PREFIX, 0, attempts),
        ],
        'services': [_create_service(name) for name in services],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 262144,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
    }


def _create_queue(name, prefix, priority, attempts):
    return {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'kind': 'mutating',
        'timeout_ms': 3000,
        'slo_ms': 1000,
        'priority': priority,
        'service': SERVICE,
        'attempts': attempts,
        'stretch': 2.0,
    }


def _create_service(name):
    return {
        'name': name,
        'health_path': '/healthz',
        'max_conns': 64,
        'proto': 'h1',
        'tls': False,
        'cold_start_s': 0.0,
        'cold_per_s': 0.0,
        'admission_check': False,
        'standby': False,
    }


def _choose_addresses(workers):
    for _ in range(100):
        network = f'127.{random.randrange(20, 250)}.{random.randrange(250)}'
        first = random.randrange(12000, 28000, 40)
        ports = {
            'first': first,
            'front': first + 11,
            'ready': first + 12,
            'control': first + 13,
            'app': first + 14,
        }
        numbers = [1, 2, 3, *range(101, 101 + workers)]
        needed = (*METRICS_PORTS, *ports.values())
        if all(
            _is_free(f'{network}.{number}', port)
            for number in numbers
            for port in needed
        ):
            return network, ports
    raise CannotRunError('no free loopback addresses')


def _is_free(address, port):
    with socket.socket() as probe:
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True


def find_overlaps(record):
    """Return the pairs of runs of one task that work at the same time."""
    open_runs = {}
    overlaps = []
    for at, what, fields in record.events:
        if what not in {'run begins', 'run ends'}:
            continue
        key = (fields['worker'], fields['born'], fields['run'])
        others = open_runs.setdefault(fields['task'], {})
        if what == 'run ends':
            others.pop(key, None)
            continue
        for other, begun_at in others.items():
            overlaps.append((fields['task'], other, begun_at, key, at))
        others[key] = at
    return overlaps


def run_case(case, folder):
    """Run a case; return its exit status."""
    record = Record(Path(folder) / 'record.txt')
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record.note('begins', trouble=has_trouble)

    async def play():
        try:
            return await asyncio.wait_for(case(record, has_trouble), 110)
        except TimeoutError as error:
            raise CannotRunError('it took too long') from error

    try:
        breaks = asyncio.run(play())
    except CannotRunError as error:
        record.note('cannot run', reason=error)
        return 2
    for each in breaks:
        record.note('BROKEN', rule=each)
    record.note('ends', broken=len(breaks))
    return 1 if breaks else 0
