"""Observed speeds of engines, and the choice of engines by them."""
