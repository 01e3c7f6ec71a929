"""How long tasks wait for a place in the rack that they prefer.

Decided from learnt durations, from what runs in the rack, and from what the
place would save; ``rounds.py`` is what a plan calls.
"""
