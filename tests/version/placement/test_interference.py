from random import Random

import pytest

from wasabiturn.version.placement.interference import (
    PRIOR_SLOWDOWN,
    InterferenceModel,
)

TRUE_SLOWDOWNS = {'convert': 0.4, 'index': 0.0}


def learn_reports(model: InterferenceModel, reports: int) -> None:
    random = Random(7)
    for second in range(reports):
        loads = {
            kind: random.choice((0.0, 1.0, 2.0)) for kind in TRUE_SLOWDOWNS
        }
        slowdown = sum(
            TRUE_SLOWDOWNS[kind] * load for kind, load in loads.items()
        )
        progress = random.uniform(0.97, 1.03) / (1 + slowdown)
        model.learn('web', progress, loads, float(second))


def test_learns_slowdown_of_each_pair() -> None:
    model = InterferenceModel()
    learn_reports(model, reports=200)
    assert model.slowdown('web', 'convert') == pytest.approx(0.4, abs=0.08)
    assert model.slowdown('web', 'index') == pytest.approx(0.0, abs=0.08)


def test_unknown_pair_has_prior_slowdown() -> None:
    model = InterferenceModel()
    assert model.slowdown('web', 'new') == PRIOR_SLOWDOWN
    assert model.certainty('web', 'new', 0) == 0


def test_certainty_decays_with_age() -> None:
    model = InterferenceModel()
    learn_reports(model, reports=50)
    fresh = model.certainty('web', 'convert', 50)
    assert fresh > 0.9
    assert model.certainty('web', 'convert', 50 + 10 * 3600) < fresh / 2


def test_report_without_neighbours_is_ignored() -> None:
    model = InterferenceModel()
    model.learn('web', 0.5, {}, 1.0)
    model.learn('web', 0.5, {'convert': 0.0}, 1.0)
    assert model.pairs_by_slowed == {}
