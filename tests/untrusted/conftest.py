"""One control group for all tests; an entry and an agent for each."""

import json
from collections.abc import Iterator
from contextlib import ExitStack

import pytest

from benchmarks.platform_soak.settings import create_routing
from tests.untrusted import programs


@pytest.fixture(scope='module')
def group(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[programs.Group]:
    started = programs.start_group(tmp_path_factory.mktemp('untrusted'))
    yield started
    started.kill()


@pytest.fixture
def entry(group: programs.Group) -> Iterator[programs.Running]:
    started = group.start(
        'entry',
        programs.ENTRY_NUMBER,
        memory_mb=programs.ENTRY_MEMORY_MB,
        has_disk=False,
    )
    body = json.dumps(create_routing(1)).encode()
    programs.send_until_ok(
        started.address,
        programs.PORTS.control,
        programs.encode_post('/api/Config.Put', body),
    )
    yield started
    started.program.kill()


@pytest.fixture
def agent(group: programs.Group) -> Iterator[programs.Running]:
    started = group.start(
        'agent',
        programs.AGENT_NUMBER,
        memory_mb=programs.AGENT_MEMORY_MB,
        has_disk=False,
    )
    programs.wait_for_port(started, programs.PORTS.control)
    yield started
    started.program.kill()


@pytest.fixture
def stack() -> Iterator[ExitStack]:
    with ExitStack() as opened:
        yield opened
