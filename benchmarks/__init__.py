"""Benchmarks of capacity, memory and processor time; not tests."""
