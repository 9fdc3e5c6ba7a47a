"""Numbers in the headers of requests and answers."""

from __future__ import annotations

import math

# Digits of the largest whole number that a float holds exactly.
_MAX_DIGITS = 15


def amount(text: str | None) -> float | None:
    """A decimal number that isn't negative; ``None`` for all else."""
    if not text:
        return None
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) and value >= 0.0 else None


def whole(text: str | None) -> int | None:
    """A number in digits; ``None`` for all else, of any length or script."""
    text = (text or "").strip()
    is_number = text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS
    return int(text) if is_number else None
