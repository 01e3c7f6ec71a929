"""A process's view of the shared state; its revision never falls."""

from collections.abc import Iterable
from typing import final

import attrs

from wasabiturn.messages.kinds import Kind
from wasabiturn.messages.session import (
    AgentRecord,
    Changes,
    DirectoryChanges,
)
from wasabiturn.messages.state import Change, Resource


@final
@attrs.define
class View:
    """Resources of the subscribed kinds at ``revision``, and the agents.

    Agents are soft state of the control instances and have no revision.
    """

    revision: int = 0
    is_loaded: bool = False
    resources_by_kind: dict[Kind, dict[str, Resource]] = attrs.field(
        factory=lambda: {kind: {} for kind in Kind},
    )
    agents_by_name: dict[str, AgentRecord] = attrs.field(factory=dict)

    def adopt(self, other: 'View') -> None:
        """Take over the resources of ``other``."""
        self.revision = other.revision
        self.is_loaded = other.is_loaded
        self.resources_by_kind = other.resources_by_kind

    def advance_revision(self, revision: int) -> None:
        """Note that nothing else changed up to ``revision``."""
        self.revision = max(self.revision, revision)


@final
@attrs.define
class ViewUpdater:
    """Applies the messages of one subscription to the view."""

    view: View
    kinds: tuple[Kind, ...]
    _parts: list[Change] = attrs.field(factory=list)

    def apply_changes(self, message: Changes) -> bool:
        """Apply ``message``; return whether the view changed.

        Changes that the view has seen are skipped, and so is a snapshot that
        is older than the view.
        """
        if message.snapshot:
            return self._take_snapshot(message)
        unseen = [
            change
            for change in message.changes
            if change.revision > self.view.revision
        ]
        for change in unseen:
            self._apply(change)
        self.view.advance_revision(message.revision)
        return bool(unseen)

    def apply_directory(self, message: DirectoryChanges) -> bool:
        """Apply ``message``; return whether the view changed."""
        agents_by_name = self.view.agents_by_name
        announced = {agent.name: agent for agent in message.agents}
        before = dict(agents_by_name)
        if message.snapshot:
            agents_by_name.clear()
        for name in message.gone:
            agents_by_name.pop(name, None)
        agents_by_name.update(announced)
        return agents_by_name != before

    def _take_snapshot(self, message: Changes) -> bool:
        self._parts.extend(message.changes)
        if not message.complete:
            return False
        parts = self._parts
        self._parts = []
        if message.revision < self.view.revision:
            return False
        self._replace(change.resource for change in parts)
        self.view.advance_revision(message.revision)
        self.view.is_loaded = True
        return True

    def _replace(self, resources: Iterable[Resource]) -> None:
        for kind in self.kinds:
            self.view.resources_by_kind[kind] = {}
        for resource in resources:
            self.view.resources_by_kind[resource.kind][resource.name] = resource

    def _apply(self, change: Change) -> None:
        resource = change.resource
        resources_by_name = self.view.resources_by_kind[resource.kind]
        if change.removed:
            resources_by_name.pop(resource.name, None)
        else:
            resources_by_name[resource.name] = resource
