"""Print benchmark results as JSON lines."""

import json
import sys
from typing import Any


def print_measurement(title: str, **values: Any) -> None:
    """Print the values of one measurement as a JSON line."""
    sys.stdout.write(f'{json.dumps(dict(measured=title, **values))}\n')
    sys.stdout.flush()
