"""Tests of what operators see of overloaded services."""
