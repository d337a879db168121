"""Tests of copperloom.experiments."""
