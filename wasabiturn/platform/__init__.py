"""The users' platform: translation of its settings, calls and names.

Nothing in this folder decides anything, and nothing outside it knows the
platform's names.
"""
