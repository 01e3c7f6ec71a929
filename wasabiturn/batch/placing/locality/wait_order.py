"""Order of the steps that wait for one rack, by what a place there gains."""

from collections.abc import Iterator, Mapping

from wasabiturn.batch.placing.locality.state import Wait
from wasabiturn.batch.state.jobs import Part


def order_by_gain(parts: list[Part], waits: Mapping[Part, Wait]) -> list[Part]:
    """Return ``parts`` with those that wait for one rack ordered by gain.

    They exchange their positions; all other parts keep theirs.
    """
    by_gain = {
        rack: _iterate_by_gain(waiting)
        for rack, waiting in _group_waits(parts, waits).items()
    }
    return [_next_part(part, waits, by_gain) for part in parts]


def _group_waits(
    parts: list[Part], waits: Mapping[Part, Wait]
) -> dict[str, list[Wait]]:
    waits_by_rack: dict[str, list[Wait]] = {}
    for part in parts:
        wait = waits.get(part)
        if wait is not None and not wait.is_over:
            waits_by_rack.setdefault(wait.rack, []).append(wait)
    return waits_by_rack


def _iterate_by_gain(waits: list[Wait]) -> Iterator[Part]:
    waits.sort(key=lambda wait: wait.rank)
    return iter([wait.part for wait in waits])


def _next_part(
    part: Part,
    waits: Mapping[Part, Wait],
    by_gain: Mapping[str, Iterator[Part]],
) -> Part:
    wait = waits.get(part)
    if wait is None or wait.is_over:
        return part
    return next(by_gain[wait.rack])
