"""Parsing and lookup of bearer tokens."""

from __future__ import annotations

import pytest

from jujubewharf import bearer
from jujubewharf import errors


@pytest.mark.parametrize(
    "values",
    [
        (),
        ("",),
        ("Bearer",),
        ("Bearer  ",),
        ("Basic abc",),
        ("abc",),
        ("Bearer one", "Bearer one"),
    ],
)
def test_anything_but_one_token_is_refused(values):
    with pytest.raises(errors.WharfError) as refused:
        bearer.parse_token(values)
    assert refused.value.kind is errors.ErrorKind.UNAUTHENTICATED


@pytest.mark.parametrize("scheme", ["Bearer", "bearer", "BEARER"])
def test_the_scheme_is_read_in_any_case(scheme):
    assert bearer.parse_token((f"{scheme} abc ",)) == "abc"


@pytest.mark.parametrize(
    "token",
    ["k" * 100_000, "ключ", "a\x01b", "\udcff\udcfe", "a b", "key, other"],
)
def test_unusual_tokens_are_unknown(token):
    """A token that is not UTF-8 leads to a 401 rather than a 500."""
    table = bearer.DigestTable([(bearer.token_digest("known"), 1)])
    assert table.find(token) is None
    assert table.find("known") == 1


def test_ambiguous_token_matches_nothing():
    digest = bearer.token_digest("same")
    other = bearer.token_digest("other")
    table = bearer.DigestTable([(digest, 1), (digest.upper(), 2), (other, 3)])
    assert table.find("same") is None
    assert table.find("other") == 3
    assert table.ambiguous == 1
