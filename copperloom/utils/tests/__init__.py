"""Tests of copperloom.utils."""
