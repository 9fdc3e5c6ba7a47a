"""Clients of the platform's services, each behind a small typed interface."""
