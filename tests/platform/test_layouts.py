"""The deploy file runs a control member on each instance with a disk.

Whatever the layout, the group that they form bears the losses it is to bear.
"""

import itertools
import math
import tomllib
from pathlib import Path
from random import Random

import attrs
import pytest

from tests.version.raft.test_open_group import OpenGroup

DEPLOY = tomllib.loads(Path('deploy/system.toml').read_text(encoding='utf-8'))
DRAWN_LAYOUTS = 12
MAX_SEEDS = 3


@attrs.frozen
class DataCentre:
    """Entry instances of a data centre; the first ``disks`` have a disk."""

    entries: int
    disks: int


@attrs.frozen
class Layout:
    """Entry instances by data centre, and the losses to bear at once."""

    data_centres: tuple[DataCentre, ...]
    tolerated: int

    def instances(self) -> list[str]:
        return [
            f'{number}-{index}'
            for number, centre in enumerate(self.data_centres)
            for index in range(centre.entries)
        ]

    def members(self) -> list[str]:
        return [
            f'{number}-{index}'
            for number, centre in enumerate(self.data_centres)
            for index in range(centre.disks)
        ]

    def running(self, role: str) -> list[str]:
        share = DEPLOY['roles'][role]['share']
        return [
            f'{number}-{index}'
            for number, centre in enumerate(self.data_centres)
            for index in range(math.ceil(share * centre.entries))
        ]

    def seeds(self) -> tuple[str, ...]:
        firsts = [f'{number}-0' for number in range(len(self.data_centres))]
        return tuple(firsts[:MAX_SEEDS])


def create_layout(
    tolerated: int, *entries_and_disks: tuple[int, int]
) -> Layout:
    centres = tuple(DataCentre(*each) for each in entries_and_disks)
    return Layout(centres, tolerated)


LAYOUTS_BY_NAME = {
    'three data centres': create_layout(1, (3, 1), (2, 1), (2, 1)),
    'four data centres': create_layout(1, (3, 1), (2, 1), (2, 1), (2, 1)),
    'four without spare': create_layout(1, (2, 1), (2, 1), (2, 1), (2, 1)),
    'two disks each': create_layout(2, (6, 2), (6, 2), (6, 2)),
    'two disks, few entries': create_layout(2, (5, 2), (4, 2), (4, 2)),
    'five data centres': create_layout(2, *([(3, 1)] * 5)),
    'hundreds of workers': create_layout(
        2, (8, 1), (8, 1), (8, 1), (7, 1), (9, 1)
    ),
    'a data centre without disks': create_layout(
        1, (2, 0), (2, 1), (2, 1), (2, 1)
    ),
}


def draw_layout(seed: int) -> Layout:
    random = Random(seed)
    centres = [
        DataCentre(entries=disks + random.randint(0, 6), disks=disks)
        for disks in random.choices((1, 1, 2), k=random.randint(3, 6))
    ]
    disks = sum(centre.disks for centre in centres)
    return Layout(tuple(centres), tolerated=2 if disks >= 5 else 1)


LAYOUTS_BY_NAME |= {
    f'drawn {seed}': draw_layout(seed) for seed in range(DRAWN_LAYOUTS)
}

each_layout = pytest.mark.parametrize(
    'layout', LAYOUTS_BY_NAME.values(), ids=LAYOUTS_BY_NAME.keys()
)


def form_group(layout: Layout) -> OpenGroup:
    seeds = layout.seeds()
    group = OpenGroup(seeds=seeds, voters=2 * layout.tolerated + 1)
    group.memberless = frozenset(seeds) - frozenset(layout.members())
    for name in layout.members():
        group.add(name)
    group.run(8)
    return group


@each_layout
def test_control_runs_on_each_instance_with_a_disk(layout: Layout) -> None:
    assert {*layout.members()} <= {*layout.running('control')}


@each_layout
def test_each_entry_answers_operators(layout: Layout) -> None:
    assert 'control' in DEPLOY['roles']['entry']['serves']
    assert layout.running('entry') == layout.instances()


@each_layout
def test_the_group_has_the_voters_that_the_losses_need(layout: Layout) -> None:
    expected = min(2 * layout.tolerated + 1, len(layout.members()))
    assert len(form_group(layout).voter_ids()) == expected


@each_layout
def test_the_group_bears_the_losses_at_once(layout: Layout) -> None:
    group = form_group(layout)
    names = sorted(voter.partition('/')[0] for voter in group.voter_ids())
    for lost in itertools.combinations(names, layout.tolerated):
        left = len(names) - len(lost)
        assert left > len(names) / 2
    group.isolated.update(names[: layout.tolerated])
    group.run(8)
    assert group.leader() is not None
