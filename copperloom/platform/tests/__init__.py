"""Tests of copperloom.platform."""
