"""Limits of the jobs that the platform's callers submit."""

from typing import final

import attrs


@final
@attrs.frozen
class JobLimits:
    """Largest amounts of one job; texts are counted in bytes of UTF-8."""

    max_spec_bytes: int = 4000
    max_steps: int = 1000
    # Of a label, a rack or an image.
    max_name_bytes: int = 256


DEFAULT_JOB_LIMITS = JobLimits()
