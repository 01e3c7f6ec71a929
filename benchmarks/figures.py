"""Raw figures of benchmarks: one JSON line for each measurement."""

import json
import sys
from typing import Any


def show(title: str, **figures: Any) -> None:
    """Print the ``figures`` of one measurement."""
    sys.stdout.write(f'{json.dumps(dict(measured=title, **figures))}\n')
    sys.stdout.flush()
