"""What is learnt of images, whose names callers choose, is bounded."""

from wasabiturn.batch.placing.interference import (
    MAX_PAIRS,
    Interference,
    Pressure,
    list_pressure_records,
)
from wasabiturn.batch.placing.loads import MAX_IMAGES, UnloadedTails
from wasabiturn.messages.batch import BatchChange
from wasabiturn.messages.codec import pack
from wasabiturn.process.control.member import MAX_COMMAND_BYTES

NOW = 1000.0


def test_the_newest_pressures_are_kept_and_fit_in_a_command() -> None:
    interference = Interference()
    for number in range(10_000):
        pair = (f'{number:0256}', 'f' * 256)
        interference.pressure_by_pair[pair] = Pressure(
            level=1.5, variance=1, seen_at=NOW - 10 + number / 1000
        )
    interference.drop_decayed(NOW)
    records = list_pressure_records(interference)
    assert len(records) == MAX_PAIRS
    assert min(int(record.lasting) for record in records) == 10_000 - MAX_PAIRS
    assert len(pack(BatchChange(pressures=records))) < MAX_COMMAND_BYTES


def test_the_newest_images_are_kept() -> None:
    tails = UnloadedTails()
    for number in range(2 * MAX_IMAGES):
        tails.to_load(f'{number}', 0.5)
    assert len(tails.tail_by_image) == MAX_IMAGES
    assert f'{2 * MAX_IMAGES - 1}' in tails.tail_by_image
