"""Receives requests within bounds of memory, descriptors and time."""
