"""Tests of how requests are received."""
