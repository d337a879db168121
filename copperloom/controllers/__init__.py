"""Loops that bring seen state to wanted state."""
