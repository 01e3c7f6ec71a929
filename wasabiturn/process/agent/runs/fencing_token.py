"""Fencing token of an agent's holds and orders.

The leader gives the agent a token; those up to its next one are the agent's.
The agent raises its own when a life of its worker has ended, so that the next
life refuses the orders to the one before also while the leader is out of touch.
"""

from typing import final

import attrs

from wasabiturn.messages.limits import FENCE_STEP
from wasabiturn.utils.logs import create_component_log

# Each refuted announcement of a later life may take a token. An agent with no
# more than these asks the leader for a new one; they serve lives that end.
RESERVED_TOKENS = FENCE_STEP // 4

_log = create_component_log('runs')


@final
@attrs.define
class FencingToken:
    """Newest token of the leader, ``fence``, and of this agent, ``value``.

    ``first_token`` is the first that the agent used under ``fence``.
    ``is_used`` tells that a start was sent under ``value``.
    """

    fence: int = 0
    value: int = 0
    first_token: int = 0
    is_used: bool = False

    @property
    def is_nearly_used_up(self) -> bool:
        """Return whether the agent can raise its token a few times only."""
        return self.value + RESERVED_TOKENS >= self.fence + FENCE_STEP

    def follow(self, fence: int) -> None:
        """Use a higher token of the leader from now on."""
        _log.event('follows a new fence', fence=fence, before=self.fence)
        self.fence = fence
        # Leaders of earlier versions leave no tokens to the agent.
        self.value = max(fence, self.value + 1)
        self.first_token = self.value
        self.is_used = False

    def raise_own(self, reason: str) -> None:
        """Make the orders void that were sent until now, if a token is left."""
        if self.value + 1 >= self.fence + FENCE_STEP:
            _log.warning('no token is left to raise', fence=self.fence)
            return
        self.value += 1
        self.is_used = False
        _log.event('raises its token', token=self.value, reason=reason)

    def fence_of(self, token: int) -> int | None:
        """Return the leader's token to which one of this agent belongs.

        None if that is not the newest.
        """
        return self.fence if token >= self.first_token else None
