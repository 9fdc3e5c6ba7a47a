"""Checked JSON settings of one entry instance."""
