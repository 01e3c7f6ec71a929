"""Knowledge that no scheduler has, to tell why jobs are late.

A variant with known loads and pressures shows what is lost for want of
knowledge; one without interference, what interference costs; one with more
workers, what is lost for want of capacity.
"""

from collections.abc import Callable
from typing import final

import attrs

from benchmarks.queues.deployments import Knowledge
from wasabiturn.batch.fleet import Worker
from wasabiturn.batch.placing.interference import (
    ImagePair,
    Interference,
    Pressure,
)
from wasabiturn.batch.placing.loads import Load
from wasabiturn.standins.interference import LoadCurve

LoadReader = Callable[[str], Load]


@final
@attrs.define
class KnownInterference(Interference):
    """True pressures and loads in place of estimates.

    ``read_load`` returns the present load of a job.
    """

    read_load: LoadReader = attrs.field(default=lambda job_id: Load())

    def learn(self, worker: Worker, now: float) -> None:
        """Learn nothing, as all is known."""

    def load(self, job_id: str) -> Load:
        """Return the true load of a job."""
        return self.read_load(job_id)

    def pressure(self, lasting: str, filling: str, now: float) -> float:
        """Return the true pressure."""
        known = self.pressure_by_pair.get((lasting, filling))
        return 0.0 if known is None else known.level


def create_interference(
    knowledge: Knowledge,
    pressures: dict[ImagePair, float],
    read_load: LoadReader,
) -> Interference:
    """Return estimates that are learnt, or the truth in their form."""
    if knowledge is Knowledge.learnt:
        return Interference()
    return KnownInterference(
        pressure_by_pair={
            pair: Pressure(level=level) for pair, level in pressures.items()
        },
        read_load=read_load,
    )


def read_curve(curve: LoadCurve, now: float) -> Load:
    """Return the load on a curve, and its peak, as an estimate."""
    level = curve.load(now)
    peak = curve.mean_load * (1 + curve.amplitude)
    return Load(level=level, slow_level=level, peak=peak)
