"""Changes from operators in a soak: configurations, and signals to reload.

They come in series, beside the faults, and are drawn apart from them.
"""

import json
import os
import time
from pathlib import Path
from random import Random
from typing import Any, final

import attrs

from benchmarks.platform_soak.calls import Answer, send_call
from benchmarks.platform_soak.fleet import Fleet
from benchmarks.platform_soak.series import Series
from benchmarks.platform_soak.settings import create_crowded_routing
from benchmarks.soak.programs import Program
from wasabiturn.connection.http_messages import HttpRequest

GAP_SECONDS = (0.02, 0.1, 0.4)
PAUSE_SECONDS = (1.0, 2.0, 4.0)
MAX_SERIES = 5
CALL_SECONDS = 1.0
FIRST_TIMEOUT_MS = 3000
TIMEOUTS_MS = (2500, FIRST_TIMEOUT_MS, 4000)
# Until then the signal ends the interpreter, which has no handler for it yet.
START_SECONDS = 3.0
SIGNAL_SHARE = 0.5
OK = 200


@final
@attrs.define(eq=False)
class Changes:
    """Sends changes until stopped; each configuration has a higher version."""

    reactor: Any
    fleet: Fleet
    random: Random
    version: int = 1
    accepted: int = 0
    signals: int = 0
    is_stopped: bool = False
    _series: Series = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Draw the series from the same random numbers as the events."""
        self._series = Series(
            self.random, MAX_SERIES, GAP_SECONDS, PAUSE_SECONDS
        )

    def start(self) -> None:
        """Send the first change, and go on until stopped."""
        if self.is_stopped:
            return
        if self.random.random() < SIGNAL_SHARE:
            self._signal()
        else:
            self._configure()
        self.reactor.callLater(self._series.draw_wait(), self.start)

    def _signal(self) -> None:
        name = self.random.choice(sorted(self.fleet.programs_by_name))
        program = self.fleet.programs_by_name[name]
        if _has_started(program):
            self.signals += 1
            program.hang_up()

    def _configure(self) -> None:
        self.version += 1
        timeout_ms = self.random.choice(TIMEOUTS_MS)
        entry = self.random.choice(self.fleet.entries())
        sent = send_call(
            self.reactor,
            self.fleet.operators_endpoint(entry),
            create_configuration(self.version, timeout_ms),
            'operator',
            CALL_SECONDS,
        )
        sent.addCallback(self._count)

    def _count(self, answer: Answer) -> None:
        self.accepted += answer.status == OK


def create_configuration(
    version: int, timeout_ms: int = FIRST_TIMEOUT_MS
) -> HttpRequest:
    """Return the order of an operator that sends a configuration."""
    routing = create_crowded_routing(version)
    for route in routing['routes']:
        route['timeout_ms'] = timeout_ms
    return HttpRequest(
        'POST',
        '/api/Config.Put',
        {'Content-Type': 'application/json'},
        json.dumps(routing).encode(),
    )


def _has_started(program: Program) -> bool:
    """Return whether a program has been running for a while."""
    if program.process is None or not program.is_running():
        return False
    process = Path('/proc') / str(program.process.pid)
    if not os.path.exists(process):
        return False
    return time.time() - process.stat().st_ctime > START_SECONDS
