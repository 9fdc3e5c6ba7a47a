"""Connections that clients open: their number, bytes and turns are bounded."""
