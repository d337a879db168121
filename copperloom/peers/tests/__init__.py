"""Tests of copperloom.peers."""
