"""What lives for a request: routing, admission, retries, claims."""
