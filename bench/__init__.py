"""Measurements and soak runs that start real processes."""
