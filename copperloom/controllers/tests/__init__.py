"""Tests of copperloom.controllers."""
