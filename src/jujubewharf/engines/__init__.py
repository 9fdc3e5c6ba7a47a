"""Clients of engines and plain endpoints."""
