"""Tests of copperloom.targets."""
