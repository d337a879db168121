"""Tests of copperloom.decisions."""
