"""Crashes of workers: what they tell of the tasks that ran there."""
