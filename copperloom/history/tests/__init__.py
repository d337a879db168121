"""Tests of the history checkers."""
