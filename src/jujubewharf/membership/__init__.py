"""Cluster membership, from the platform's live list and peer heartbeats."""
