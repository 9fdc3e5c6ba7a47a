"""Decisions about plain calls when many arrive at the same time."""
