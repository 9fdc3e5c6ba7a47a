"""Validated JSON settings of an entry instance."""
