"""Draining: endpoints that get no new work, and an instance's shutdown."""
