"""Bounds the memory that an instance holds for its callers and for peers."""
