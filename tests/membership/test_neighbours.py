"""Standing links at the target fleet size: few, balanced and connected."""

from __future__ import annotations

import collections
import statistics

from jujubewharf.membership import neighbours
from jujubewharf.membership import view

SIZE = 380
DOMAINS = 15


def _fleet(size: int, domains: int) -> list[view.Member]:
    return [
        view.Member(f"e{n:03}", f"127.0.0.1:{n}", f"d{n % domains:02}")
        for n in range(size)
    ]


def _links(members: list[view.Member]) -> dict[str, set[str]]:
    linked: dict[str, set[str]] = collections.defaultdict(set)
    for member in members:
        others = [other for other in members if other is not member]
        for name in neighbours.select_peers(member, others):
            linked[member.instance].add(name)
            linked[name].add(member.instance)
    return linked


def _reached(linked: dict[str, set[str]], start: str) -> int:
    reached, edge = {start}, {start}
    while edge:
        edge = {n for name in edge for n in linked[name]} - reached
        reached |= edge
    return len(reached)


def test_links_stay_few_and_join_the_whole_fleet():
    linked = _links(_fleet(SIZE, DOMAINS))
    degrees = [len(names) for names in linked.values()]
    assert statistics.mean(degrees) <= 12
    assert max(degrees) <= 24
    assert _reached(linked, "e000") == SIZE


def test_the_fleet_stays_joined_when_a_domain_and_a_tenth_are_gone():
    """The graph stays connected without one domain and a tenth of the rest."""
    left = [
        member
        for number, member in enumerate(_fleet(SIZE, DOMAINS))
        if member.domain != "d07" and number % 10
    ]
    linked = _links(left)
    assert _reached(linked, left[0].instance) == len(left)


def test_a_newcomer_changes_few_links():
    members = _fleet(SIZE, DOMAINS)
    before = _links(members)
    after = _links([*members, view.Member("new", "127.0.0.1:9", "d03")])
    moved = [
        (name, other)
        for name, others in before.items()
        for other in others - after[name]
    ]
    assert len(moved) <= 24


def test_a_small_domain_is_linked_whole():
    linked = _links(_fleet(9, 3))
    for member in _fleet(9, 3):
        near = {
            other.instance
            for other in _fleet(9, 3)
            if other.domain == member.domain
        } - {member.instance}
        assert near <= linked[member.instance]
