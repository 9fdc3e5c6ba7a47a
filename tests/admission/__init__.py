"""Tests of the order of waiting requests."""
