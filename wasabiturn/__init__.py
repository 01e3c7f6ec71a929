"""Scheduler for latency-critical services and batch tasks."""
