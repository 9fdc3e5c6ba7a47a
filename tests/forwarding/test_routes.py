"""Route matching by host and longest path prefix."""

from __future__ import annotations

import pytest

from jujubewharf.forwarding import routes


def _table(*prefixes: str) -> routes.RouteTable:
    shares = (routes.Share("s", 1.0),)
    return routes.RouteTable(
        [routes.Route(p, "a.example", p, shares) for p in prefixes]
    )


@pytest.mark.parametrize(
    ("path", "expected"),
    [
        ("/x/", "/x/"),
        ("/x/1", "/x/"),
        ("/x/y/1", "/x/y/"),
        ("/x/y", "/x/"),
        ("/xy/1", None),
        ("/", None),
        ("", None),
    ],
)
def test_longest_prefix(path, expected):
    route = _table("/x/", "/x/y/").match("a.example", path)
    assert (route.name if route else None) == expected


@pytest.mark.parametrize(
    ("host", "is_found"),
    [
        ("a.example", True),
        ("A.Example", True),
        ("a.example:80", True),
        ("b.example", False),
        ("", False),
    ],
)
def test_host_matching(host, is_found):
    assert (_table("/x/").match(host, "/x/1") is not None) is is_found


def test_root_route_matches_all_paths():
    assert _table("/").match("a.example", "/any/thing") is not None
