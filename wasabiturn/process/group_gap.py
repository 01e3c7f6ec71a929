"""Report of what keeps a process from reaching or forming the control group."""

from collections.abc import Callable
from typing import Any, final

import attrs
from twisted.internet.defer import Deferred, succeed

from wasabiturn.process import exposition
from wasabiturn.process.control_group import ControlGroup
from wasabiturn.utils.logs import create_component_log
from wasabiturn.utils.ticker import Ticker

CHECK_INTERVAL_SECONDS = 0.5
# What is missing may change to and fro; between two lines about it at least so
# much time passes.
MIN_LINE_INTERVAL_SECONDS = 5.0
NEVER = float('-inf')

_log = create_component_log('group')


@final
@attrs.frozen
class GroupGap:
    """What a process lacks, and the instances that it concerns."""

    missing: str
    names: tuple[str, ...] = ()


FindGap = Callable[[], GroupGap | None]


@final
class GroupGapReporter:
    """Tells in log and metrics what is missing, when that changes."""

    def __init__(self, find_gap: FindGap, clock: Any) -> None:
        """Create the reporter without starting to check."""
        self._find_gap = find_gap
        self._clock = clock
        self._found: GroupGap | None = None
        self._reported: GroupGap | None = None
        self._reported_at = NEVER
        self._ticker = Ticker(self._check, clock)

    def start(self) -> None:
        """Start checking, after the links had time to open."""
        self._ticker.start(CHECK_INTERVAL_SECONDS, now=False)

    def drain(self) -> Deferred[None]:
        """Stop checking."""
        self.close()
        return succeed(None)

    def close(self) -> None:
        """Stop checking."""
        if self._ticker.running:
            self._ticker.stop()

    def _check(self) -> None:
        gap = self._find_gap()
        if gap != self._found:
            self._found = gap
            _export(gap)
        if gap != self._reported:
            self._report(gap, self._clock.seconds())

    def _report(self, gap: GroupGap | None, now: float) -> None:
        if gap is not None and now < (
            self._reported_at + MIN_LINE_INTERVAL_SECONDS
        ):
            return
        self._reported = gap
        self._reported_at = now
        if gap is None:
            _log.event('the control group is reached')
            return
        _log.warning(
            'the control group is not reached; goes on looking',
            missing=gap.missing,
            instances=gap.names,
        )


def _export(gap: GroupGap | None) -> None:
    exposition.group_gaps.clear()
    if gap is not None:
        exposition.group_gaps.labels(gap.missing).set(1)


def find_contact_gap(group: ControlGroup) -> GroupGap | None:
    """Return what keeps a process that is no member from the members."""
    linked = tuple(sorted({link.peer.name for link in group.all_open_links()}))
    if not linked:
        return GroupGap('answers of seeds', group.seeds)
    if group.open_links():
        return None
    if not group.member_names:
        return GroupGap('a member; the seeds run none and list none', linked)
    return GroupGap('answers of members', tuple(group.member_names))
