"""Adapter to the users' platform: its settings, HTTP calls and names.

This package only translates; decisions are made elsewhere. No module outside it
uses the platform's names.
"""
