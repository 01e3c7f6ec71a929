"""List of the control members, kept by an instance that runs none.

Settings may name only such instances as seeds, and all of them may restart at
once. Each member keeps a link to each seed, so the seeds learn the members from
the links that these open, and tell whoever asks.
"""

from typing import final

from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.link import Link
from wasabiturn.messages.batch import MemberList
from wasabiturn.messages.kinds import Method, Role
from wasabiturn.messages.link import Nothing
from wasabiturn.process.control_group import ControlGroup


@final
class MemberDirectory:
    """Answers which members the control group has."""

    def __init__(self, group: ControlGroup, dispatch: Dispatch) -> None:
        """Create the directory and register its handlers on ``dispatch``."""
        self._group = group
        dispatch.on_open.append(self._learn_member)
        dispatch.handle(Method.members, Nothing, self._list_members)

    def _learn_member(self, link: Link) -> None:
        if link.peer.role is Role.control:
            self._group.add_member(link.peer.name)

    def _list_members(self, link: Link, nothing: Nothing) -> MemberList:
        return MemberList(names=self._group.member_names)
