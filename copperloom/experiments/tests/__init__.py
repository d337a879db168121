"""Tests of the load and experiment tools."""
