"""What filling images do to the tails of lasting ones, learnt from figures.

The tail of a lasting task, as a share of its goal, is taken as what its image
shows alone plus, for each filling image beside it, a pressure times the part
of the worker that the image uses. Figures are rough and the truth changes
within seconds, so each new sample moves the estimates at once.
"""

from collections.abc import Iterator, Mapping
from typing import final

import attrs

from wasabiturn.batch.fleet import Worker

Pair = tuple[str, str]

# Shares of its goal that a tail shows alone, before any was seen.
FIRST_ALONE = 0.4
# Pressure of an image that was never seen beside another.
FIRST_PRESSURE = 0.15
MAX_PRESSURE = 5.0
# How far one sample moves an estimate.
LEARNING_RATE = 0.35
ALONE_RATE = 0.2
# Use of a worker is counted in tenths of its processors.
PARTS_OF_WORKER = 10
# Below this use, a sample says little about an image.
MIN_USE = 0.05


@final
@attrs.define
class Interference:
    """Estimates by lasting image, and by lasting and filling image."""

    alone_by_image: dict[str, float] = attrs.field(factory=dict)
    pressure_by_pair: dict[Pair, float] = attrs.field(factory=dict)

    def learn(self, worker: Worker) -> None:
        """Take the newest figures of a worker into the estimates."""
        uses = uses_by_image(worker)
        for image, tail in tails_of(worker):
            if uses:
                self._learn_pressure(image, tail, uses)
            else:
                alone = self.alone(image)
                self.alone_by_image[image] = alone + ALONE_RATE * (tail - alone)

    def alone(self, image: str) -> float:
        """Return the tail of a lasting image alone, in shares of its goal."""
        return self.alone_by_image.get(image, FIRST_ALONE)

    def pressure(self, lasting: str, filling: str) -> float:
        """Return what a tenth of a worker's use adds to a tail."""
        return self.pressure_by_pair.get((lasting, filling), FIRST_PRESSURE)

    def predict(self, worker: Worker, filling: str, use: float) -> float:
        """Return the worst tail on ``worker`` with ``use`` more of an image."""
        uses = dict(uses_by_image(worker))
        uses[filling] = uses.get(filling, 0) + use
        return max(
            (
                self.alone(image) + self._total(image, uses)
                for image, _ in tails_of(worker)
            ),
            default=0.0,
        )

    def worst_pressure(self, worker: Worker, filling: str) -> float:
        """Return the pressure of an image on the worker's weakest task."""
        return max(
            (self.pressure(image, filling) for image, _ in tails_of(worker)),
            default=0.0,
        )

    def _total(self, image: str, uses: Mapping[str, float]) -> float:
        return sum(
            self.pressure(image, filling) * use for filling, use in uses.items()
        )

    def _learn_pressure(
        self,
        image: str,
        tail: float,
        uses: Mapping[str, float],
    ) -> None:
        error = tail - self.alone(image) - self._total(image, uses)
        norm = sum(use * use for use in uses.values())
        for filling, use in uses.items():
            if use < MIN_USE:
                continue
            step = LEARNING_RATE * error * use / norm
            pressure = self.pressure(image, filling) + step
            bounded = min(max(pressure, 0.0), MAX_PRESSURE)
            self.pressure_by_pair[image, filling] = bounded


def tails_of(worker: Worker) -> Iterator[tuple[str, float]]:
    """Yield image and tail, in shares of its goal, of each lasting task."""
    for charge in worker.charges_by_task.values():
        step = charge.task.step
        if step.tail_goal_ms and charge.row is not None:
            yield step.image, charge.row.figure / step.tail_goal_ms


def uses_by_image(worker: Worker) -> dict[str, float]:
    """Return what each filling image uses, in tenths of the worker."""
    uses: dict[str, float] = {}
    size = max(worker.report.millicores, 1)
    for charge in worker.charges_by_task.values():
        if charge.task.step.fills and charge.row is not None:
            use = charge.row.figure * PARTS_OF_WORKER / size
            image = charge.task.step.image
            uses[image] = uses.get(image, 0) + use
    return {image: use for image, use in uses.items() if use > 0}
