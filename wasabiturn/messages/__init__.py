"""Typed messages and their thrift IDL."""
