"""Measurements of real processes on loopback; not tests."""
