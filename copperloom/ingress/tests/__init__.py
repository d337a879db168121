"""Tests of the instance that serves by host and path."""
