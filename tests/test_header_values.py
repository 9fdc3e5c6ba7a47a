"""Reading of numbers and text in headers."""

from __future__ import annotations

import math

import pytest
import structlog

from jujubewharf import header_values


@pytest.mark.parametrize(
    ("text", "amount"),
    [
        ("1.8", 1.8),
        ("0", 0.0),
        ("-1", None),
        ("inf", None),
        ("nan", None),
        ("", None),
        (None, None),
        ("1,5", None),
        ("1e12", 1e12),
        ("1e13", None),
        ("1e308", None),
        ("9" * 400, None),
    ],
)
def test_parse_decimal(text, amount):
    assert header_values.parse_decimal(text) == amount


@pytest.mark.parametrize(
    ("text", "number"),
    [("3", 3.0), (" 2 ", 2.0), ("-1", -1.0), ("1e400", math.inf)],
)
def test_parse_number(text, number):
    assert header_values.parse_number(text) == number


def test_parse_number_tells_missing_from_malformed():
    assert header_values.parse_number(" ") is None
    assert math.isnan(header_values.parse_number("some"))
    assert math.isnan(header_values.parse_number("nan"))


@pytest.mark.parametrize(
    ("text", "whole"),
    [("12", 12), (" 7 ", 7), ("-1", None), ("1.5", None), ("9" * 16, None)],
)
def test_parse_integer(text, whole):
    assert header_values.parse_integer(text) == whole


@pytest.mark.parametrize("value", ["1e308", "-1", "nan", "x", "\udcff"])
def test_value_out_of_its_bounds_is_skipped(value):
    """A line tells of it, once for many."""
    fields = header_values.Fields({"A-Number": value})
    with structlog.testing.capture_logs() as lines:
        for _ in range(5):
            assert fields.decimal("A-Number") is None
            assert fields.integer("A-Number") is None
    assert len(lines) <= 2


def test_text_that_isnt_utf8_is_skipped():
    fields = header_values.Fields({"A": "a\udcff", "B": "\u00e9", "C": "c"})
    assert [fields.text(name) for name in "ABCD"] == ["", "\u00e9", "c", ""]
