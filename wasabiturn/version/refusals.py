"""Outcomes of commands that were refused."""

from wasabiturn.messages.kinds import OutcomeCode
from wasabiturn.messages.state import Outcome, Resource
from wasabiturn.version.state import Effect, State


def refuse(
    code: OutcomeCode,
    text: str,
    field: str = '',
    present: Resource | None = None,
) -> Outcome:
    """Create the outcome of a command that changed nothing."""
    return Outcome(code=code, text=text, field=field, resource=present)


def refused(state: State, outcome: Outcome) -> Effect:
    """Return the effect of a refused command at the present revision."""
    outcome.revision = state.revision
    return Effect(outcome=outcome)
