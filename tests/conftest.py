"""Fixtures that several test modules share."""

from __future__ import annotations
