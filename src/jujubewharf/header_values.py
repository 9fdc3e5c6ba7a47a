"""Reads numbers and text in HTTP headers, within bounds."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import math
from typing import TypeVar

from jujubewharf.telemetry import containment

Number = TypeVar("Number", int, float)

# Above any duration in milliseconds, and any rate a second. Sums and products
# of larger numbers may become infinite.
_MAX_DECIMAL = 1e12
# Integers of up to 15 digits are exact in a float.
_MAX_DIGITS = 15


class Fields:
    """The headers of one message; values out of their bounds are skipped.

    Args:
        headers: Values by name.
    """

    def __init__(self, headers: Mapping[str, str]) -> None:
        self._headers = headers

    def text(self, name: str) -> str:
        """Returns a header's text; empty if it is missing or not UTF-8."""
        value = self._headers.get(name, "")
        if is_text(value):
            return value
        containment.report_skipped(name, value)
        return ""

    def decimal(self, name: str) -> float | None:
        """Returns a decimal number, see ``parse_decimal``."""
        return self._number(name, parse_decimal)

    def integer(self, name: str) -> int | None:
        """Returns a whole number, see ``parse_integer``."""
        return self._number(name, parse_integer)

    def _number(
        self, name: str, parse: Callable[[str], Number | None]
    ) -> Number | None:
        text = self._headers.get(name, "").strip()
        number = parse(text)
        if text and number is None:
            containment.report_skipped(name, text)
        return number


def parse_decimal(text: str | None) -> float | None:
    """Parses a number from 0 to 10^12; returns ``None`` otherwise."""
    if not text:
        return None
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0.0 <= value <= _MAX_DECIMAL else None


def is_text(value: str) -> bool:
    """Whether a string of the HTTP parser was UTF-8 on the wire.

    The parser turns other bytes into lone surrogates, which can't be sent on to
    endpoints, other instances or the store.
    """
    if value.isascii():
        return True
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


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
