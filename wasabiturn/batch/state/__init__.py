"""The replicated state of queues and jobs, and its changes."""
