"""Starts a small deployment of the project's own programs for review cases."""
