"""Which job goes next.

Decided from the committed jobs, their terms and the present time; it knows no
workers.
"""
