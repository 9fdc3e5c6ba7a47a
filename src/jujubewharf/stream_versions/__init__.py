"""Keeps each stream at engines of the software version that began it."""
