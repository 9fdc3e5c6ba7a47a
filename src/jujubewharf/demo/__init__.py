"""Runs a complete deployment on loopback, for the demo and for tests."""
