"""Tests of the package as a whole, and shared fixtures."""
