"""Log lines about holds that fail: one for each error, not for each hold."""

from typing import final

import attrs

from wasabiturn.utils.logs import create_component_log

_log = create_component_log('runs')


@final
@attrs.define
class HoldLog:
    """Logs when holds begin to fail, and when one is answered again."""

    # Since the last hold that was answered.
    failed_holds: int = 0
    newest_error: str = ''

    def record_failure(self, worker: str, error: str) -> None:
        """Log the failure of a hold, unless the one before failed alike."""
        self.failed_holds += 1
        if error != self.newest_error:
            _log.event('hold on worker failed', worker=worker, error=error)
        self.newest_error = error

    def record_answer(self, worker: str) -> None:
        """Log that a hold is answered after others failed."""
        if self.failed_holds:
            _log.event(
                'worker answers holds again',
                worker=worker,
                failed_holds=self.failed_holds,
            )
        self.failed_holds = 0
        self.newest_error = ''
