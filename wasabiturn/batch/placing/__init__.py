"""Which worker takes a task, at which pace it works, and when it moves.

Decided from the reports of the workers and from what was learnt of the loads
and the interference on them.
"""
