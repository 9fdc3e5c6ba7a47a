"""Parses numbers in HTTP headers."""

from __future__ import annotations

import math

# Integers of up to 15 digits are exact in a float.
_MAX_DIGITS = 15


def parse_decimal(text: str | None) -> float | None:
    """Parses a non-negative decimal number; returns ``None`` otherwise."""
    if not text:
        return None
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) and value >= 0.0 else None


def parse_number(text: str) -> float | None:
    """Parses a number of any sign and size.

    Returns:
        ``None`` for blank text, NaN for text that is not a number.
    """
    if not text.strip():
        return None
    try:
        return float(text)
    except ValueError:
        return math.nan


def parse_integer(text: str | None) -> int | None:
    """Parses an integer of ASCII digits; returns ``None`` otherwise."""
    text = (text or "").strip()
    is_number = text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS
    return int(text) if is_number else None
