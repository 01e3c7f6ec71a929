"""Clients whose requests are whole: jobs, and what is asked about them."""

import http.client
import json
import os
import threading
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

import attrs

from benchmarks.platform_soak import settings as soak_settings
from tests.untrusted import programs

CLIENTS = 16
LOOK_SECONDS = 0.05
# Added to the configured queue: one that the crowd doesn't use.
OTHER_HOST = 'otra.example'
OTHER_PREFIX = '/otra/'
STEP = {'count': 1, 'cpu': 100, 'mem_mb': 10, 'est_ms': 1000}
SPEC_BYTES = 4000
# Unix time in a later century.
FAR_MS = 5_000_000_000_000


def create_job(spec: str = 'a', steps: int = 1, **fields: Any) -> bytes:
    """Return the body that submits a job with equal steps."""
    step = {**STEP, **fields}
    return json.dumps({'spec': spec, 'steps': [step] * steps}).encode()


def create_periodic_job(occurrences: int) -> bytes:
    """Return the body that submits a job for the far future."""
    fields = {
        'spec': 'a',
        'steps': [STEP],
        'repeats': occurrences,
        'first_ms': FAR_MS,
        'interval_ms': 1000,
    }
    return json.dumps(fields).encode()


def create_two_queues(version: int) -> dict[str, Any]:
    """Return a configuration with a second queue."""
    routing = soak_settings.create_routing(version)
    other = {
        **routing['routes'][0],
        'name': 'otra',
        'host': OTHER_HOST,
        'prefix': OTHER_PREFIX,
    }
    routing['routes'].append(other)
    return routing


@attrs.define
class Queue:
    """One queue as a caller knows it."""

    address: str
    host: str = soak_settings.HOST
    prefix: str = soak_settings.PREFIX

    def send(
        self, method: str, job_id: str, body: bytes = b''
    ) -> http.client.HTTPResponse | None:
        """Return the response to one request, or none if there is none."""
        connection = http.client.HTTPConnection(
            self.address, programs.PORTS.callers, timeout=programs.CALL_SECONDS
        )
        try:
            return self.send_on(connection, method, job_id, body)
        finally:
            connection.close()

    def send_on(
        self,
        connection: http.client.HTTPConnection,
        method: str,
        job_id: str,
        body: bytes = b'',
    ) -> http.client.HTTPResponse | None:
        """Send on a connection, which is opened again if it was closed."""
        path = f'{self.prefix}{job_id}'
        try:
            connection.request(method, path, body, {'Host': self.host})
            response = connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException):
            connection.close()
            return None
        return response


@attrs.define
class Crowd:
    """Clients that send whole requests at once, and what they heard."""

    queue: Queue
    statuses: Counter[int | None] = attrs.field(factory=Counter)
    accepted_ids: list[str] = attrs.field(factory=list)
    refused_without_time: int = 0
    _lock: threading.Lock = attrs.field(factory=threading.Lock)

    def submit(
        self,
        count: int,
        body: bytes,
        observe: Callable[[], None],
        clients: int = CLIENTS,
    ) -> None:
        """Submit many equal jobs; observe the programs meanwhile."""
        numbers = iter(range(count))
        threads = [
            threading.Thread(target=self._send_each, args=(numbers, body))
            for _ in range(clients)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            while thread.is_alive():
                observe()
                thread.join(LOOK_SECONDS)
        observe()

    def _send_each(self, numbers: Iterator[int], body: bytes) -> None:
        connection = http.client.HTTPConnection(
            self.queue.address,
            programs.PORTS.callers,
            timeout=programs.CALL_SECONDS,
        )
        while self._take(numbers):
            job_id = os.urandom(8).hex()
            response = self.queue.send_on(connection, 'POST', job_id, body)
            self._record(job_id, response)
        connection.close()

    def _take(self, numbers: Iterator[int]) -> bool:
        with self._lock:
            return next(numbers, None) is not None

    def _record(
        self, job_id: str, response: http.client.HTTPResponse | None
    ) -> None:
        status = None if response is None else response.status
        with self._lock:
            self.statuses[status] += 1
            if status == http.HTTPStatus.OK:
                self.accepted_ids.append(job_id)
            elif response is not None and status in {429, 503}:
                has_time = response.getheader('Retry-After') is not None
                self.refused_without_time += not has_time
