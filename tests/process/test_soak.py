"""Short soak run that checks the invariants under seeded faults."""

import json
import subprocess
import sys
from pathlib import Path

import pytest


@pytest.mark.timeout(240)
def test_short_soak_violates_no_invariant(tmp_path: Path) -> None:
    completed = subprocess.run(
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
    assert completed.returncode == 0, completed.stdout + completed.stderr
    counts = json.loads(completed.stdout)
    assert counts['answered request ran: checked'] > 0
    assert counts['confirmation is not lost: checked'] > 0
