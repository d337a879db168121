"""Decisions under load: pure functions and their state, no I/O."""
