"""Jobs of several steps that queues take, and where their tasks run."""

from wasabiturn.batch.apply import apply_batch_change
from wasabiturn.batch.book import BatchBook
from wasabiturn.batch.dump import dump_book, load_book

__all__ = ('BatchBook', 'apply_batch_change', 'dump_book', 'load_book')
