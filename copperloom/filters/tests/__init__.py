"""Tests of copperloom.filters."""
