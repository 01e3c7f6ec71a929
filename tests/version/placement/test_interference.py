from random import Random

import pytest

from wasabiturn.version.placement.interference import (
    PRIOR_SLOWDOWN,
    InterferenceModel,
)

TRUE = {'convert': 0.4, 'index': 0.0}


def teach(model: InterferenceModel, reports: int) -> None:
    random = Random(7)
    for second in range(reports):
        loads = {kind: random.choice((0.0, 1.0, 2.0)) for kind in TRUE}
        slowdown = sum(TRUE[kind] * load for kind, load in loads.items())
        progress = random.uniform(0.97, 1.03) / (1 + slowdown)
        model.learn('web', progress, loads, float(second))


def test_pairs_are_told_apart() -> None:
    model = InterferenceModel()
    teach(model, reports=200)
    assert model.slowdown('web', 'convert') == pytest.approx(0.4, abs=0.08)
    assert model.slowdown('web', 'index') == pytest.approx(0.0, abs=0.08)


def test_unknown_pair_has_the_prior() -> None:
    model = InterferenceModel()
    assert model.slowdown('web', 'new') == PRIOR_SLOWDOWN
    assert model.certainty('web', 'new', 0) == 0


def test_certainty_falls_with_age() -> None:
    model = InterferenceModel()
    teach(model, reports=50)
    fresh = model.certainty('web', 'convert', 50)
    assert fresh > 0.9
    assert model.certainty('web', 'convert', 50 + 10 * 3600) < fresh / 2


def test_report_without_neighbours_teaches_nothing() -> None:
    model = InterferenceModel()
    model.learn('web', 0.5, {}, 1.0)
    model.learn('web', 0.5, {'convert': 0.0}, 1.0)
    assert model.pairs_by_slowed == {}
