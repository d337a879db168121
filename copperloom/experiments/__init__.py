"""Load and experiment tools."""
