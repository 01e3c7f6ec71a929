"""Benchmarks and load tests; not part of the test suite."""
