"""Clients of the platform's services, each behind a typed protocol."""
