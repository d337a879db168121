"""Tests of copperloom.standins."""
