"""Paths from an instance to endpoints: its own, and those through peers."""
