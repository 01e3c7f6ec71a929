"""The entry: routes callers' requests to agents."""
