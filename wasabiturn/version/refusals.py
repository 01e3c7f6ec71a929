"""Outcomes of refused commands."""

from wasabiturn.messages.kinds import OutcomeCode
from wasabiturn.messages.state import Outcome, Resource
from wasabiturn.version.state import Effect, State


def create_refusal(
    code: OutcomeCode,
    text: str,
    field: str = '',
    existing: Resource | None = None,
) -> Outcome:
    """Create the outcome of a refused command, which changes nothing."""
    return Outcome(code=code, text=text, field=field, resource=existing)


def create_refusal_effect(state: State, outcome: Outcome) -> Effect:
    """Create the effect of a refused command at the current revision."""
    outcome.revision = state.revision
    return Effect(outcome=outcome)
