"""Experiments that run the entry code on a virtual clock."""
