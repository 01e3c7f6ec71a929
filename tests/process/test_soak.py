"""Short form of the soak: what must always hold, under seeded faults."""

import json
import subprocess
import sys
from pathlib import Path

import pytest


@pytest.mark.timeout(240)
def test_short_soak_violates_nothing(tmp_path: Path) -> None:
    ended = subprocess.run(
        [
            sys.executable,
            '-m',
            'benchmarks.soak',
            *('--seconds', '12', '--seed', '11', '--fault-pause', '2'),
            *('--settle', '5', '--callers', '4', '--folder', str(tmp_path)),
        ],
        capture_output=True,
        text=True,
        check=False,
        timeout=220,
    )
    assert ended.returncode == 0, ended.stdout + ended.stderr
    counts = json.loads(ended.stdout)
    assert counts['answered request ran: checked'] > 0
    assert counts['confirmation is not lost: checked'] > 0
