"""Tests of copperloom.cli."""
