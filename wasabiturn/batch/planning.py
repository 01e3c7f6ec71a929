"""Which waiting tasks start now, and where."""

from collections.abc import Iterator
from itertools import islice

from wasabiturn.batch.book import BatchBook
from wasabiturn.batch.fleet import Fleet
from wasabiturn.batch.gangs import start_gang
from wasabiturn.batch.jobs import Part
from wasabiturn.batch.ordering import Moment, needs_no_less, order_parts
from wasabiturn.batch.placing import Places, choose_worker, find_places
from wasabiturn.messages.batch import StartRun, Step

MAX_STARTS = 200


def plan_starts(
    book: BatchBook,
    fleet: Fleet,
    moment: Moment,
) -> Iterator[StartRun]:
    """Yield starts, one at a time.

    The caller applies each before it asks for the next, so that the room it
    takes is charged.
    """
    places = find_places(
        fleet.workers_by_life.values(),
        book,
        moment.now,
    )
    if places.workers:
        parts = order_parts(book, moment)
        yield from islice(_start_parts(parts, places), MAX_STARTS)


def _start_parts(parts: list[Part], places: Places) -> Iterator[StartRun]:
    stuck: list[Step] = []
    for part in parts:
        if any(needs_no_less(part.step, each) for each in stuck):
            continue
        yield from _start_part(part, places)
        if part.waiting_by_name:
            stuck.append(part.step)


def _start_part(part: Part, places: Places) -> Iterator[StartRun]:
    if part.step.gang:
        yield from start_gang(part, places)
        return
    for task in list(part.waiting_by_name.values()):
        worker = choose_worker(task, places)
        if worker is None:
            return
        yield StartRun(
            task=task.name,
            run=task.run + 1,
            worker=worker.name,
            born_ms=worker.born_ms,
        )
