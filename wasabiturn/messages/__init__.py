"""Typed messages between processes, and their Thrift IDL."""
