"""Hypothesis settings of all tests: derandomized, so that runs agree."""

from hypothesis import settings

settings.register_profile(
    'fixed',
    derandomize=True,
    deadline=None,
    database=None,
)
settings.load_profile('fixed')
