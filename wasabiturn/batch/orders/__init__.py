"""What was sent to the agents, and what of it may still be carried out.

Decided from receipts, reports and the times that the committed state holds.
"""
