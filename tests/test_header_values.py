"""Parsing of numbers in headers."""

from __future__ import annotations

import pytest

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
    ],
)
def test_parse_decimal(text, amount):
    assert header_values.parse_decimal(text) == amount


@pytest.mark.parametrize(
    ("text", "whole"),
    [("12", 12), (" 7 ", 7), ("-1", None), ("1.5", None), ("9" * 16, None)],
)
def test_parse_integer(text, whole):
    assert header_values.parse_integer(text) == whole
