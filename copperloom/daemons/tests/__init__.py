"""Tests of copperloom.daemons."""
