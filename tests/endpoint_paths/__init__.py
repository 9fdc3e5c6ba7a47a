"""Tests of the paths of an instance to endpoints."""
